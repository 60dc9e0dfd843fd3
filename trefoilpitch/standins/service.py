"""Runs the service stand-in: ``python -m trefoilpitch.standins.service``."""

from __future__ import annotations

from absl import app, flags

from trefoilpitch.standins._service import open_service_stand_in
from trefoilpitch.standins._service_types import ServiceSettings

_PORT = flags.DEFINE_integer("port", 0, "Port; 0 picks a free one.")
_NAME = flags.DEFINE_string("name", "service", "The upstream's name.")
_CAPACITY = flags.DEFINE_integer("capacity", 16, "Concurrent calls.")
_CALL_MS = flags.DEFINE_integer("call_ms", 0, "Milliseconds per call.")


def main(argv: list[str]) -> None:
    """Serves until the process is terminated."""
    del argv
    settings = ServiceSettings(
        name=_NAME.value, capacity=_CAPACITY.value, call_ms=_CALL_MS.value
    )
    with open_service_stand_in(settings, port=_PORT.value) as service:
        print(service.address, flush=True)
        service.wait()


if __name__ == "__main__":
    app.run(main)
