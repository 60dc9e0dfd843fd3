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
    """Returns a decoded reply to a request that changes nothing.

    Raises:
        CommandError: If there is none or it is not understood.
    """
    if not isinstance(reply, Success):
        raise _to_command_error(reply.failure())
    try:
        return msgspec.json.decode(reply.unwrap(), type=reply_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CommandError(
            ExitStatus.FAILED,
            f"the daemon's reply is not understood: {error}",
            "Check that the address is a daemon's and its release this one.",
        ) from error


def decode_change_reply(
    reply: Result[bytes, RequestError], reply_type: type[_T]
) -> _T:
    """Returns a decoded reply to a change.

    Raises:
        CommandError: If there is none or it is not understood; says so
            where the change may have been accepted all the same.
    """
    if not isinstance(reply, Success) and reply.failure().may_have_run:
        raise outcome_unknown("\n".join(reply.failure().attempts))
    try:
        return decode_reply(reply, reply_type)
    except CommandError as error:
        if isinstance(reply, Success):
            raise outcome_unknown(error.message) from error
        raise


def outcome_unknown(cause: str) -> CommandError:
    """Returns how a command ends whose change may have been accepted."""
    return CommandError(
        ExitStatus.OUTCOME_UNKNOWN,
        f"the change may have been accepted\n{cause}",
        "Repeat the command with the same --change_id; that is safe.",
    )


def _to_command_error(error: RequestError) -> CommandError:
    problem = error.problem
    if problem is None:
        return CommandError(
            ExitStatus.UNREACHABLE,
            "\n".join(("no daemon could be reached", *error.attempts)),
            "Check --admin_address (or --entry_address) and that it runs.",
        )
    status, advice = _BY_HTTP_STATUS.get(
        problem.status,
        (ExitStatus.FAILED, "See the daemon's log and trefoilpitch dump."),
    )
    advice = _BY_CODE.get(problem.code, advice)
    return CommandError(status, _message(problem.title, problem.detail), advice)


_BY_HTTP_STATUS = {
    400: (ExitStatus.REFUSED, "Correct the command."),
    401: (
        ExitStatus.UNAUTHENTICATED,
        "Check TREFOILPITCH_ADMIN_TOKEN or --admin_token, and that "
        "--admin_address names the administration port.",
    ),
    404: (
        ExitStatus.FAILED,
        "Check that --admin_address names the administration port of a "
        "daemon of this release.",
    ),
    409: (
        ExitStatus.CONFLICT,
        "See trefoilpitch bundle history, then give the command again.",
    ),
    422: (ExitStatus.REFUSED, "Correct what is named above."),
    503: (
        ExitStatus.UNREACHABLE,
        "Nothing was changed. Try again later.",
    ),
}
_BY_CODE = {
    "no-effect": "It is so already; there is nothing to do.",
    "unknown-name": "See trefoilpitch bundle show for the names.",
    "unknown-vm": "See trefoilpitch status, or add --allow_unknown.",
    "not-current": "Nothing was changed. A daemon needs some seconds after its "
    "start; after that, see configuration.standing in trefoilpitch dump.",
    "no-bundle": "Sign off a bundle first: trefoilpitch bundle sign-off FILE.",
    "not-newer": "Raise the bundle's version in the file and sign off again.",
    "withdrawn": "A withdrawal is for good; name another version.",
    "wrong-phase": "See trefoilpitch rollout status.",
    "change-id-reused": "Leave --change_id out, or give a new one.",
    "too-large": "Make the bundle smaller.",
    "no-entries": "See trefoilpitch status for what is out of service.",
}


def _message(title: str, detail: str) -> str:
    return f"{title}\n{detail}" if detail else title
