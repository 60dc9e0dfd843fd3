"""``trefoilpitch status``, ``dump``, ``ledger`` and ``entries``."""

from __future__ import annotations

import urllib.parse
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from trefoilpitch.administration import FleetStatus, LedgerPage
from trefoilpitch.cli._context import Context, decode_reply, fetch
from trefoilpitch.cli._exceptions import CommandError, ExitStatus
from trefoilpitch.cli._output import Table
from trefoilpitch.ledger import Bill, deduplicate_bills, total_by_workspace

_NANO = 1_000_000_000
_PERCENT = 100


class EntryLine(msgspec.Struct, frozen=True):
    """One VM that callers may use."""

    name: str
    address: str
    failure_domain: str


class EntriesReply(msgspec.Struct, frozen=True):
    """The answer to ``GET /v1/entries``."""

    entries: tuple[EntryLine, ...]
    ttl_ms: int
    key_prefix: str


def status(context: Context) -> ExitStatus:
    """Shows the revision in force and the VMs that lack it."""
    reply = fetch(context, "/v1/status", FleetStatus)
    context.console.show(
        f"bundle {reply.bundle or 'none'}, revision {reply.revision}, "
        f"as {reply.vm} knows it",
        _describe_force(reply),
        *_describe_out(reply),
        "",
        _node_table(reply),
    )
    context.console.record(**msgspec.to_builtins(reply))
    return ExitStatus.DONE


def dump(context: Context) -> ExitStatus:
    """Prints the state of the answering daemon as JSON."""
    state = fetch(context, "/v1/dump", dict[str, Any])
    text = msgspec.json.format(msgspec.json.encode(state), indent=2).decode()
    context.console.show(text)
    context.console.record(**state)
    return ExitStatus.DONE


def ledger(context: Context) -> ExitStatus:
    """Shows what each workspace owes, or each request of one workspace."""
    workspace = context.settings.workspace
    united = deduplicate_bills(_recorded_bills(context))
    totals = total_by_workspace(united)
    bills = sorted(
        (bill for bill in united if bill.workspace == workspace),
        key=lambda bill: (bill.ended_ms, bill.request_id),
    )
    table = Table(
        headings=("WORKSPACE", "REQUESTS", "COST"),
        rows=tuple(
            (
                total.workspace,
                str(total.requests),
                format_cost(total.cost_nano),
            )
            for total in totals
        ),
        empty="the store holds no bills yet",
    )
    context.console.show(_bill_table(bills) if workspace else table)
    context.console.record(bills=bills, totals=totals)
    return ExitStatus.DONE


def entries(context: Context) -> ExitStatus:
    """Shows the addresses that callers are told to use."""
    path = "/v1/entries"
    if context.settings.failure_domain:
        query = {"failure_domain": context.settings.failure_domain}
        path += "?" + urllib.parse.urlencode(query)
    reply = decode_reply(context.callers.get(path), EntriesReply)
    table = Table(
        headings=("VM", "ADDRESS", "FAILURE DOMAIN"),
        rows=tuple(
            (entry.name, entry.address, entry.failure_domain)
            for entry in reply.entries
        ),
    )
    context.console.show(table, f"valid for {reply.ttl_ms} ms")
    context.console.record(**msgspec.to_builtins(reply))
    return ExitStatus.DONE


def format_cost(cost_nano: int) -> str:
    """Returns a cost in units of the accounting currency."""
    whole, nano = divmod(cost_nano, _NANO)
    return f"{whole}.{nano:09d}"


def _recorded_bills(context: Context) -> Iterator[Bill]:
    after = ""
    while True:
        query = urllib.parse.urlencode({"after": after})
        page = fetch(context, f"/v1/ledger?{query}", LedgerPage)
        yield from page.bills
        if not page.next_after:
            return
        if page.next_after <= after:
            raise CommandError(
                ExitStatus.FAILED,
                f"the ledger's pages do not go on after {after!r}",
                "Check that the address is a daemon's and its release this "
                "one.",
            )
        after = page.next_after


def _describe_force(reply: FleetStatus) -> str:
    if reply.in_force:
        return "in force on every live VM"
    return f"not yet in force on: {', '.join(reply.missing)}"


def _describe_out(reply: FleetStatus) -> tuple[str, ...]:
    lists = (
        ("failure domains out", reply.failure_domains_out),
        ("VMs out", reply.vms_out),
        ("withdrawn", reply.withdrawn),
    )
    return tuple(
        f"{title}: {', '.join(names)}" for title, names in lists if names
    )


def _bill_table(bills: Sequence[Bill]) -> Table:
    return Table(
        headings=("REQUEST", "SUBJECT", "ITEMS", "WHOLE", "COST"),
        rows=tuple(
            (
                bill.request_id,
                bill.subject,
                " ".join(line.item for line in bill.lines),
                "yes" if bill.is_whole else "no",
                format_cost(bill.cost_nano),
            )
            for bill in bills
        ),
        empty="the store holds no bills of this workspace",
    )


def _node_table(reply: FleetStatus) -> Table:
    return Table(
        headings=(
            "VM",
            "FAILURE DOMAIN",
            "STATE",
            "REVISION",
            "REPORT AGE",
            "IN FLIGHT",
        ),
        rows=tuple(
            (
                node.name,
                node.failure_domain,
                node.state,
                str(node.revision),
                f"{node.report_age_ms} ms",
                f"{node.in_flight_share * _PERCENT:.0f}%",
            )
            for node in reply.nodes
        ),
    )
