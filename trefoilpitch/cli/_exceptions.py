"""How commands end, and why one did not do what it was asked."""

from __future__ import annotations

import enum


class ExitStatus(enum.IntEnum):
    """What the program's exit status says; the numbers are stable."""

    # The command did what it was asked.
    DONE = 0
    # The change or the bundle was refused; nothing was changed.
    REFUSED = 1
    # The command line cannot be understood; nothing was sent.
    USAGE = 2
    # No daemon, or no store behind it, could be used; nothing was changed.
    UNREACHABLE = 3
    # The change may have been accepted.
    OUTCOME_UNKNOWN = 4
    # Another change came first; nothing was changed.
    CONFLICT = 5
    # The change was accepted, but is not yet known to be in force everywhere.
    NOT_IN_FORCE = 6
    # The administration token was not accepted; nothing was changed.
    UNAUTHENTICATED = 7
    # The daemon failed or answered what this release does not understand.
    FAILED = 8
    # Interrupted by the keyboard before a change was sent.
    INTERRUPTED = 130


class CommandError(Exception):
    """A command that ends without having done what it was asked.

    Args:
        status: What the program exits with.
        message: What happened.
        advice: What to do next.
    """

    def __init__(self, status: ExitStatus, message: str, advice: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message
        self.advice = advice


class UsageError(CommandError):
    """A command line that cannot be understood.

    Args:
        message: What is wrong with it.
        advice: What to write instead.
    """

    def __init__(self, message: str, advice: str) -> None:
        super().__init__(ExitStatus.USAGE, message, advice)
