"""Runs the command line."""

from trefoilpitch.cli import run

run()
