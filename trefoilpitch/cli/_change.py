"""Sends a change, says what became of it, and waits for it."""

from __future__ import annotations

import dataclasses
import secrets
from typing import Any

import msgspec

from trefoilpitch.administration import (
    ChangeBody,
    ChangeReply,
    DryRunReply,
    FleetStatus,
)
from trefoilpitch.cli._context import (
    Context,
    decode_reply,
    fetch,
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
            "no author was given", "Give --author=NAME; history shows it."
        )
    expected = settings.expected_revision
    return ChangeHeader(
        change_id=settings.change_id or secrets.token_hex(_ID_BYTES),
        author=settings.author,
        expected_revision=based_on if expected is None else expected,
    )


def send_change(
    context: Context, body: ChangeBody, what: str, **result: Any
) -> ExitStatus:
    """Sends a change and prints what became of it.

    Args:
        context: What the command works with.
        body: The change.
        what: The change in words, ``vm entry-1 out``.
        **result: More for the JSON output.

    Raises:
        CommandError: If the change was not accepted or is not known to be.
    """
    require_token(context)
    encoded = msgspec.json.encode(body)
    if context.settings.dry_run:
        return _dry_run(context, encoded, what, result)
    context.console.remark(f"change id {body.change_id}")
    posted = context.admin.post("/v1/changes", encoded)
    reply = decode_reply(posted, ChangeReply)
    repeated = " (already accepted before)" if reply.is_repeated else ""
    context.console.show(f"{what}: revision {reply.revision}{repeated}")
    is_in_force = _wait(context, reply.revision)
    context.console.finish(
        {
            **result,
            "revision": reply.revision,
            "is_repeated": reply.is_repeated,
            "change_id": body.change_id,
            "in_force": is_in_force,
        }
    )
    return ExitStatus.DONE


def _dry_run(
    context: Context, encoded: bytes, what: str, result: dict[str, Any]
) -> ExitStatus:
    posted = context.admin.post("/v1/dry-run", encoded)
    reply = decode_reply(posted, DryRunReply)
    context.console.show(
        f"{what}: revision {reply.revision} admits it; nothing was changed"
    )
    context.console.finish(
        {**result, "dry_run": True, "revision": reply.revision}
    )
    return ExitStatus.DONE


def _wait(context: Context, revision: int) -> bool | None:
    """Waits until a revision is in force; returns None without --wait."""
    if not context.settings.wait:
        return None
    until_ms = context.clock.now_ms() + context.settings.wait_ms
    while True:
        status = fetch(context, "/v1/status", FleetStatus)
        if status.revision >= revision and status.in_force:
            context.console.show(f"revision {revision} is in force everywhere")
            return True
        if context.clock.now_ms() >= until_ms:
            raise _not_in_force(context, status, revision)
        context.sleep(_POLL_MS)


def _not_in_force(
    context: Context, status: FleetStatus, revision: int
) -> CommandError:
    missing = [
        node.name
        for node in status.nodes
        if node.state != "gone" and node.revision < revision
    ]
    message = (
        f"revision {revision} is accepted, but not in force after "
        f"{context.settings.wait_ms} ms on: {', '.join(missing)}"
    )
    return CommandError(
        ExitStatus.NOT_IN_FORCE,
        message,
        "It will not be taken back. Look at these VMs: trefoilpitch status.",
    )
