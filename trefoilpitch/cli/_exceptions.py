"""Exit statuses and errors of commands."""

from __future__ import annotations

import enum


class ExitStatus(enum.IntEnum):
    """Exit statuses of the program; the numbers are stable."""

    # The command succeeded.
    DONE = 0
    # The change or the bundle was refused; nothing was changed.
    REFUSED = 1
    # The command line is invalid; nothing was sent.
    USAGE = 2
    # No daemon was reachable, or its store was unavailable; nothing was
    # changed.
    UNREACHABLE = 3
    # The change may have been accepted.
    OUTCOME_UNKNOWN = 4
    # Another change was committed first; nothing was changed.
    CONFLICT = 5
    # The change was accepted, but was not seen in force on every live VM
    # within the wait.
    NOT_IN_FORCE = 6
    # The administration token was not accepted; nothing was changed.
    UNAUTHENTICATED = 7
    # The daemon failed, or this release cannot decode its response.
    FAILED = 8
    # Interrupted from the keyboard before a change was sent.
    INTERRUPTED = 130


class CommandError(Exception):
    """A command that failed.

    Args:
        status: The exit status of the program.
        message: What happened.
        advice: What the operator can do next.
    """

    def __init__(self, status: ExitStatus, message: str, advice: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message
        self.advice = advice


class UsageError(CommandError):
    """A command line that is invalid.

    Args:
        message: What is wrong with it.
        advice: How to correct it.
    """

    def __init__(self, message: str, advice: str) -> None:
        super().__init__(ExitStatus.USAGE, message, advice)
