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
EXIT_INCOMPLETE = 1
EXIT_USAGE = 2


def main(argv: Sequence[str], environment: Mapping[str, str]) -> int:
    """Runs a daemon until a signal or a newer process ends it.

    Returns:
        0 after a graceful shutdown, 1 if requests were aborted or bills may
        have been lost, 2 if the settings are invalid.
    """
    if any(argument in ("--help", "-h") for argument in argv[1:]):
        print(describe_flags())
        return EXIT_CLEAN
    try:
        settings = read_settings(argv, environment)
    except SettingsError as error:
        print("trefoilpitchd: invalid settings:", file=sys.stderr)
        for message in error.errors:
            print(f"  {message}", file=sys.stderr)
        print("See trefoilpitchd --help.", file=sys.stderr)
        return EXIT_USAGE
    return _serve(settings)


def run() -> None:
    """Runs the daemon with the process's own arguments."""
    sys.exit(main(sys.argv, os.environ))


def _serve(settings: Settings) -> int:
    shutdown_requested = threading.Event()
    handler = open_log_handler(json_lines=settings.json_logs)
    with handler.applicationbound():
        with open_node(settings, SystemClock(), shutdown_requested.set) as node:
            _install_signal_handlers(node, shutdown_requested)
            shutdown_requested.wait()
            is_clean = node.drain()
        return EXIT_CLEAN if is_clean else EXIT_INCOMPLETE


def _install_signal_handlers(
    node: Node, shutdown_requested: threading.Event
) -> None:
    def on_signal(number: int, frame: object) -> None:
        del number, frame
        if shutdown_requested.is_set():
            node.abandon()
            return
        shutdown_requested.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
