"""Sends changes, prints their outcome and waits until they are in force."""

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
    decode_change_response,
    decode_response,
    fetch,
    outcome_unknown_error,
    require_token,
)
from trefoilpitch.cli._exceptions import CommandError, ExitStatus, UsageError

_ID_BYTES = 8
_POLL_MS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeHeader:
    """The fields that the request bodies of all changes share."""

    # Idempotency key of the change.
    change_id: str
    # The operator who requests the change.
    author: str
    # The revision that the change is based on; None for any.
    expected_revision: int | None

    def fields(self) -> dict[str, Any]:
        """Returns the fields as keyword arguments of a request body."""
        return dataclasses.asdict(self)


def change_header(
    context: Context, shown_revision: int | None = None
) -> ChangeHeader:
    """Returns the shared fields of the change that is about to be sent.

    Args:
        context: The command's context.
        shown_revision: The revision that was shown to the operator; used as
            the expected revision unless one was given.

    Raises:
        UsageError: If there is no author.
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
        expected_revision=shown_revision if expected is None else expected,
    )


def send_change(context: Context, body: ChangeBody, summary: str) -> ExitStatus:
    """Sends a change and prints its outcome.

    Args:
        context: The command's context.
        body: The change.
        summary: The change as text, for example ``VM entry-1 out``.

    Raises:
        CommandError: If the change was not accepted, or its outcome is
            unknown.
    """
    require_token(context)
    encoded = msgspec.json.encode(body)
    if context.settings.dry_run:
        return _dry_run(context, encoded, summary)
    console = context.console
    console.print_notice(f"change id {body.change_id}")
    console.record(change_id=body.change_id)
    response = _post(context, encoded)
    repeated = " (already accepted before)" if response.is_repeated else ""
    console.show(f"{summary}: revision {response.revision}{repeated}")
    console.record(**msgspec.to_builtins(response))
    if context.settings.wait:
        _wait_until_in_force(context, response.revision)
    elif not response.is_confirmed:
        raise outcome_unknown_error(
            f"the store has revision {response.revision}, but most failure "
            "domains have not confirmed it in time"
        )
    return ExitStatus.DONE


def _dry_run(context: Context, encoded: bytes, summary: str) -> ExitStatus:
    posted = context.admin_api.post("/v1/dry-run", encoded)
    response = decode_response(posted, DryRunResponse)
    context.console.show(
        f"{summary}: valid for revision {response.revision}; "
        "nothing was changed"
    )
    context.console.record(dry_run=True, revision=response.revision)
    return ExitStatus.DONE


def _post(context: Context, encoded: bytes) -> ChangeResponse:
    try:
        posted = context.admin_api.post("/v1/changes", encoded)
    except KeyboardInterrupt as interrupt:
        raise outcome_unknown_error("interrupted") from interrupt
    try:
        return decode_change_response(posted, ChangeResponse)
    except CommandError as error:
        if context.settings.change_id and _is_undecided(error):
            raise _undecided_error(error) from error
        raise


def _is_undecided(error: CommandError) -> bool:
    return error.status in (
        ExitStatus.UNREACHABLE,
        ExitStatus.UNAUTHENTICATED,
        ExitStatus.FAILED,
    )


def _undecided_error(error: CommandError) -> CommandError:
    """Returns an error that leaves the outcome of earlier attempts open.

    The operator gave a change id, so an earlier command may have sent the
    same change.
    """
    return CommandError(
        error.status,
        error.message,
        "This command changed nothing. Whether an earlier one with the same "
        "--change_id was accepted is still unknown: retry later.",
    )


def _wait_until_in_force(context: Context, revision: int) -> None:
    """Waits until a revision is in force on every live VM.

    Raises:
        CommandError: If the wait timed out or was interrupted.
    """
    outdated = "the fleet status was not read"
    deadline_ms = context.clock.now_ms() + context.settings.wait_ms
    try:
        while True:
            outdated = _find_outdated(context, revision)
            if not outdated:
                break
            if context.clock.now_ms() >= deadline_ms:
                raise _not_in_force_error(context, revision, outdated)
            context.sleep(_POLL_MS)
    except KeyboardInterrupt as interrupt:
        raise _not_in_force_error(context, revision, outdated) from interrupt
    context.console.show(f"revision {revision} is in force everywhere")
    context.console.record(in_force=True)


def _find_outdated(context: Context, revision: int) -> str:
    """Returns the live VMs that lack a revision, or why that is unknown.

    Empty if the revision is in force on all of them.
    """
    try:
        status = fetch(context, "/v1/status", FleetStatus)
    except CommandError as error:
        # The change is accepted even if the status cannot be read, so the
        # wait goes on.
        return error.message
    outdated = [
        node.name
        for node in status.nodes
        if node.is_live and node.revision < revision
    ]
    if status.revision < revision and status.vm not in outdated:
        outdated.append(status.vm)
    return ", ".join(outdated)


def _not_in_force_error(
    context: Context, revision: int, outdated: str
) -> CommandError:
    context.console.record(in_force=False)
    return CommandError(
        ExitStatus.NOT_IN_FORCE,
        f"revision {revision} is accepted, but not known to be in force "
        f"everywhere; lacking: {outdated}",
        "It stays accepted and need not be sent again. "
        "Watch trefoilpitch status.",
    )
