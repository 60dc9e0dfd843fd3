"""Runs many service stand-ins in one process.

Usage: ``python -m tools.router.workers --first_port=21300 --count=30``
"""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Sequence

from absl import app, flags

from trefoilpitch.standins import ServiceSettings, open_service_stand_in

_FIRST_PORT = flags.DEFINE_integer(
    "first_port", 0, "Port of the first stand-in."
)
_COUNT = flags.DEFINE_integer("count", 1, "Number of stand-ins.")


def main(arguments: Sequence[str]) -> None:
    """Serves until the process is terminated."""
    del arguments
    with contextlib.ExitStack() as stack:
        for index in range(_COUNT.value):
            settings = ServiceSettings(name=f"worker-{index}")
            port = _FIRST_PORT.value + index
            stack.enter_context(open_service_stand_in(settings, port=port))
        threading.Event().wait()


if __name__ == "__main__":
    app.run(main)
