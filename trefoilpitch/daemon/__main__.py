"""Runs the daemon: ``python -m trefoilpitch.daemon``."""

from trefoilpitch.daemon import run

run()
