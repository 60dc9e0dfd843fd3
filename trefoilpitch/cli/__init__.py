"""The command-line interface for operators."""

from trefoilpitch.cli._exceptions import ExitStatus
from trefoilpitch.cli._main import main, run

__all__ = ["ExitStatus", "main", "run"]
