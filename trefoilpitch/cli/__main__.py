"""Entry point of ``python -m trefoilpitch.cli``."""

from trefoilpitch.cli import run

run()
