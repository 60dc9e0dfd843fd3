"""What a command works with."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TypeVar

import msgspec
from returns.result import Result, Success

from trefoilpitch.cli._client import DaemonClient, RequestError
from trefoilpitch.cli._exceptions import CommandError, ExitStatus, UsageError
from trefoilpitch.cli._output import Console
from trefoilpitch.cli._settings import CliSettings
from trefoilpitch.clock import Clock

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Context:
    """What a command works with."""

    # Flags and environment.
    settings: CliSettings
    # The command's arguments, as many as it declares.
    arguments: tuple[str, ...]
    # Where results go.
    console: Console
    # The administration API.
    admin: DaemonClient
    # The API for callers.
    callers: DaemonClient
    # Tells the time.
    clock: Clock
    # Waits for a number of milliseconds.
    sleep: Callable[[int], None]


def fetch(context: Context, path: str, reply_type: type[_T]) -> _T:
    """Returns a decoded reply of the administration API.

    Raises:
        CommandError: If there is none.
    """
    require_token(context)
    return decode_reply(context.admin.get(path), reply_type)


def require_token(context: Context) -> None:
    """Checks that an administration token was given.

    Raises:
        UsageError: If none was.
    """
    if not context.settings.admin_token:
        raise UsageError(
            "no administration token was given",
            "Set TREFOILPITCH_ADMIN_TOKEN or give --admin_token.",
        )


def decode_reply(
    reply: Result[bytes, RequestError], reply_type: type[_T]
) -> _T:
    """Returns a decoded reply.

    Raises:
        CommandError: If there is none or it is not understood.
    """
    if not isinstance(reply, Success):
        raise to_command_error(reply.failure())
    try:
        return msgspec.json.decode(reply.unwrap(), type=reply_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CommandError(
            ExitStatus.FAILED,
            f"the daemon's reply is not understood: {error}",
            "Check that the address is a daemon's and its release this one.",
        ) from error


def to_command_error(error: RequestError) -> CommandError:
    """Returns how a command ends whose request got no useful reply."""
    problem = error.problem
    if error.may_have_run:
        return CommandError(
            ExitStatus.OUTCOME_UNKNOWN,
            _join("the change may have been accepted", error),
            "Repeat the command with the same --change_id; that is safe.",
        )
    if problem is None:
        return CommandError(
            ExitStatus.UNREACHABLE,
            _join("no daemon could be reached", error),
            "Check --admin_address (or --entry_address) and that it runs.",
        )
    status, advice = _BY_HTTP_STATUS.get(
        problem.status,
        (ExitStatus.FAILED, "See the daemon's log and trefoilpitch dump."),
    )
    return CommandError(status, _message(problem.title, problem.detail), advice)


_BY_HTTP_STATUS = {
    400: (ExitStatus.REFUSED, "Correct the command."),
    401: (
        ExitStatus.UNAUTHENTICATED,
        "Check TREFOILPITCH_ADMIN_TOKEN or --admin_token.",
    ),
    409: (
        ExitStatus.CONFLICT,
        "See trefoilpitch bundle history, then give the command again.",
    ),
    422: (ExitStatus.REFUSED, "Correct what is named above."),
    503: (
        ExitStatus.UNREACHABLE,
        "Nothing was changed; the fleet serves on. Try again later.",
    ),
}


def _message(title: str, detail: str) -> str:
    return f"{title}\n{detail}" if detail else title


def _join(headline: str, error: RequestError) -> str:
    return "\n".join((headline, *error.attempts))
