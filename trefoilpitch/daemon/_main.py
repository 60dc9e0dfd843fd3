"""The ``trefoilpitchd`` program."""

from __future__ import annotations

import os
import signal
import sys
import threading
from collections.abc import Mapping, Sequence

from trefoilpitch.clock import SystemClock
from trefoilpitch.daemon._exceptions import SettingsError
from trefoilpitch.daemon._logs import open_log_handler
from trefoilpitch.daemon._node import Node, open_node
from trefoilpitch.daemon._settings import (
    Settings,
    describe_flags,
    read_settings,
)

EXIT_CLEAN = 0
EXIT_CUT = 1
EXIT_USAGE = 2


def main(argv: Sequence[str], environment: Mapping[str, str]) -> int:
    """Runs a daemon until it is told to end.

    Returns:
        0 after a graceful shutdown that cut nothing, 1 when requests were
        cut or bills not written, 2 when the settings cannot be used.
    """
    if any(argument in ("--help", "-h") for argument in argv[1:]):
        print(describe_flags())
        return EXIT_CLEAN
    try:
        settings = read_settings(argv, environment)
    except SettingsError as error:
        print("trefoilpitchd: the settings have faults:", file=sys.stderr)
        for fault in error.faults:
            print(f"  {fault}", file=sys.stderr)
        print("See trefoilpitchd --help.", file=sys.stderr)
        return EXIT_USAGE
    return _serve(settings)


def run() -> None:
    """Runs the daemon with the process's own arguments."""
    sys.exit(main(sys.argv, os.environ))


def _serve(settings: Settings) -> int:
    told_to_end = threading.Event()
    handler = open_log_handler(json_lines=settings.json_logs)
    with handler.applicationbound():
        with open_node(settings, SystemClock(), told_to_end.set) as node:
            _install_signal_handlers(node, told_to_end)
            told_to_end.wait()
            is_clean = node.finish_leaving()
        return EXIT_CLEAN if is_clean else EXIT_CUT


def _install_signal_handlers(node: Node, told_to_end: threading.Event) -> None:
    def on_signal(number: int, frame: object) -> None:
        del number, frame
        if told_to_end.is_set():
            node.abandon()
            return
        told_to_end.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
