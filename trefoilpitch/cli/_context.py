"""The context of a command, and decoding of responses."""

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
    """Settings and dependencies of a command."""

    # From flags and environment variables.
    settings: CliSettings
    # The positional arguments, one for each parameter of the command.
    arguments: tuple[str, ...]
    # Prints results and notices.
    console: Console
    # Client of the administration API.
    admin_api: DaemonClient
    # Client of the API for callers.
    caller_api: DaemonClient
    clock: Clock
    # Sleeps for a number of milliseconds.
    sleep: Callable[[int], None]


def fetch(context: Context, path: str, response_type: type[_T]) -> _T:
    """Sends a GET request to the administration API.

    Returns:
        The decoded response.

    Raises:
        CommandError: If the request failed or the response is invalid.
    """
    require_token(context)
    return decode_response(context.admin_api.get(path), response_type)


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


def decode_response(
    response: Result[bytes, RequestError], response_type: type[_T]
) -> _T:
    """Decodes the response to a request that changes nothing.

    Raises:
        CommandError: If the request failed or the response is invalid.
    """
    if not isinstance(response, Success):
        raise _to_command_error(response.failure())
    try:
        return msgspec.json.decode(response.unwrap(), type=response_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CommandError(
            ExitStatus.FAILED,
            f"the daemon's response cannot be decoded: {error}",
            "Check that the address is that of a daemon of this release.",
        ) from error


def decode_change_response(
    response: Result[bytes, RequestError], response_type: type[_T]
) -> _T:
    """Decodes the response to a change.

    Raises:
        CommandError: If the request failed or the response is invalid; its
            status is ``OUTCOME_UNKNOWN`` if the change may have been
            accepted.
    """
    if not isinstance(response, Success) and response.failure().may_have_run:
        raise outcome_unknown_error("\n".join(response.failure().attempts))
    try:
        return decode_response(response, response_type)
    except CommandError as error:
        if isinstance(response, Success):
            raise outcome_unknown_error(error.message) from error
        raise


def outcome_unknown_error(cause: str) -> CommandError:
    """Returns the error for a change that may have been accepted."""
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
            "Check --admin_address (or --entry_address), and that the daemon "
            "is running.",
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
        "See trefoilpitch bundle history, then repeat the command.",
    ),
    422: (ExitStatus.REFUSED, "Correct what is named above."),
    503: (
        ExitStatus.UNREACHABLE,
        "Nothing was changed. Try again later.",
    ),
}
_BY_CODE = {
    "no-effect": "This state is already in force; there is nothing to do.",
    "unknown-name": "See trefoilpitch bundle show for the names.",
    "unknown-vm": "See trefoilpitch status, or add --allow_unknown.",
    "not-current": "Nothing was changed. A daemon needs some seconds after its "
    "start; after that, see configuration.standing in trefoilpitch dump.",
    "no-bundle": "Sign off a bundle first: trefoilpitch bundle sign-off FILE.",
    "not-newer": "Raise the bundle's version in the file and sign off again.",
    "withdrawn": "A withdrawal is permanent; name another version.",
    "wrong-phase": "See trefoilpitch rollout status.",
    "change-id-reused": "Leave --change_id out, or give a new one.",
    "too-large": "Make the bundle smaller.",
    "no-entries": "See trefoilpitch status for what is out of service.",
}


def _message(title: str, detail: str) -> str:
    return f"{title}\n{detail}" if detail else title
