"""Sends a change, says what became of it, and waits for it."""

from __future__ import annotations

import dataclasses
import secrets
from typing import Any

import msgspec

from trefoilpitch.administration import (
    ChangeBody,
    ChangeResponse,
    DryRunResponse,
    FleetStatus,
)
from trefoilpitch.cli._context import (
    Context,
    decode_change_reply,
    decode_reply,
    fetch,
    outcome_unknown,
    require_token,
)
from trefoilpitch.cli._exceptions import CommandError, ExitStatus, UsageError

_ID_BYTES = 8
_POLL_MS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeHeader:
    """What every change carries, as keyword arguments of its body."""

    # Identifies the change.
    change_id: str
    # Who asks.
    author: str
    # The revision that it is based on; None for any.
    expected_revision: int | None

    def fields(self) -> dict[str, Any]:
        """Returns the fields by name."""
        return dataclasses.asdict(self)


def change_header(
    context: Context, based_on: int | None = None
) -> ChangeHeader:
    """Returns what the change to be sent carries.

    Args:
        context: What the command works with.
        based_on: The revision that was shown; counts where the operator
            names none.

    Raises:
        UsageError: If nobody is named as the author.
    """
    settings = context.settings
    if not settings.author:
        raise UsageError(
            "no author was given",
            "Give --author=NAME; bundle history shows it.",
        )
    expected = settings.expected_revision
    return ChangeHeader(
        change_id=settings.change_id or secrets.token_hex(_ID_BYTES),
        author=settings.author,
        expected_revision=based_on if expected is None else expected,
    )


def send_change(context: Context, body: ChangeBody, what: str) -> ExitStatus:
    """Sends a change and prints what became of it.

    Args:
        context: What the command works with.
        body: The change.
        what: The change in words, ``vm entry-1 out``.

    Raises:
        CommandError: If the change was not accepted or is not known to be.
    """
    require_token(context)
    encoded = msgspec.json.encode(body)
    if context.settings.dry_run:
        return _dry_run(context, encoded, what)
    console = context.console
    console.remark(f"change id {body.change_id}")
    console.record(change_id=body.change_id)
    reply = _post(context, encoded)
    repeated = " (already accepted before)" if reply.is_repeated else ""
    console.show(f"{what}: revision {reply.revision}{repeated}")
    console.record(**msgspec.to_builtins(reply))
    if context.settings.wait:
        _wait(context, reply.revision)
    elif not reply.is_confirmed:
        raise outcome_unknown(
            f"the store has revision {reply.revision}, but most failure "
            "domains have not confirmed it in time"
        )
    return ExitStatus.DONE


def _dry_run(context: Context, encoded: bytes, what: str) -> ExitStatus:
    posted = context.admin.post("/v1/dry-run", encoded)
    reply = decode_reply(posted, DryRunResponse)
    context.console.show(
        f"{what}: revision {reply.revision} admits it; nothing was changed"
    )
    context.console.record(dry_run=True, revision=reply.revision)
    return ExitStatus.DONE


def _post(context: Context, encoded: bytes) -> ChangeResponse:
    try:
        posted = context.admin.post("/v1/changes", encoded)
    except KeyboardInterrupt as interrupt:
        raise outcome_unknown("interrupted") from interrupt
    try:
        return decode_change_reply(posted, ChangeResponse)
    except CommandError as error:
        if context.settings.change_id and _is_undecided(error):
            raise _repeat_undecided(error) from error
        raise


def _is_undecided(error: CommandError) -> bool:
    return error.status in (
        ExitStatus.UNREACHABLE,
        ExitStatus.UNAUTHENTICATED,
        ExitStatus.FAILED,
    )


def _repeat_undecided(error: CommandError) -> CommandError:
    """Returns an error that claims nothing about earlier commands."""
    return CommandError(
        error.status,
        error.message,
        "This command changed nothing. Whether an earlier one with the same "
        "--change_id was accepted is still open: repeat it later.",
    )


def _wait(context: Context, revision: int) -> None:
    """Waits until a revision is in force on every live VM.

    Raises:
        CommandError: If it is not in time.
    """
    lacking = "the fleet was not asked"
    until_ms = context.clock.now_ms() + context.settings.wait_ms
    try:
        while True:
            lacking = _find_lacking(context, revision)
            if not lacking:
                break
            if context.clock.now_ms() >= until_ms:
                raise _not_in_force(context, revision, lacking)
            context.sleep(_POLL_MS)
    except KeyboardInterrupt as interrupt:
        raise _not_in_force(context, revision, lacking) from interrupt
    context.console.show(f"revision {revision} is in force everywhere")
    context.console.record(in_force=True)


def _find_lacking(context: Context, revision: int) -> str:
    """Returns what lacks a revision, the empty string if nothing does."""
    try:
        status = fetch(context, "/v1/status", FleetStatus)
    except CommandError as error:
        # The change is accepted whatever becomes of this question.
        return error.message
    lacking = [
        node.name
        for node in status.nodes
        if node.is_live and node.revision < revision
    ]
    if status.revision < revision and status.vm not in lacking:
        lacking.append(status.vm)
    return ", ".join(lacking)


def _not_in_force(
    context: Context, revision: int, lacking: str
) -> CommandError:
    context.console.record(in_force=False)
    return CommandError(
        ExitStatus.NOT_IN_FORCE,
        f"revision {revision} is accepted, but not known to be in force "
        f"everywhere; lacking: {lacking}",
        "It stays accepted and need not be sent again. "
        "Watch trefoilpitch status.",
    )
