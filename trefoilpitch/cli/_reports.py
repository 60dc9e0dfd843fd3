"""The ``status``, ``dump``, ``ledger`` and ``entries`` commands."""

from __future__ import annotations

import urllib.parse
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

from trefoilpitch.administration import FleetStatus, LedgerPage
from trefoilpitch.cli._context import Context, decode_response, fetch
from trefoilpitch.cli._exceptions import CommandError, ExitStatus
from trefoilpitch.cli._output import Table
from trefoilpitch.ledger import Bill, deduplicate_bills, total_by_workspace

_NANO = 1_000_000_000
_PERCENT = 100


class EntryVm(msgspec.Struct, frozen=True):
    """One entry VM that callers may use."""

    name: str
    address: str
    failure_domain: str


class EntriesResponse(msgspec.Struct, frozen=True):
    """The response to ``GET /v1/entries``."""

    entries: tuple[EntryVm, ...]
    ttl_ms: int
    key_prefix: str


def status(context: Context) -> ExitStatus:
    """Shows the revision in force and the VMs that lack it."""
    response = fetch(context, "/v1/status", FleetStatus)
    context.console.show(
        f"bundle {response.bundle or 'none'}, revision {response.revision}, "
        f"as seen by {response.vm}",
        _describe_in_force(response),
        *_describe_out_of_service(response),
        "",
        _node_table(response),
    )
    context.console.record(**msgspec.to_builtins(response))
    return ExitStatus.DONE


def dump(context: Context) -> ExitStatus:
    """Prints the state of the responding daemon as JSON."""
    state = fetch(context, "/v1/dump", dict[str, Any])
    text = msgspec.json.format(msgspec.json.encode(state), indent=2).decode()
    context.console.show(text)
    context.console.record(**state)
    return ExitStatus.DONE


def ledger(context: Context) -> ExitStatus:
    """Shows the cost of each workspace, or the bills of one workspace."""
    workspace = context.settings.workspace
    deduplicated = deduplicate_bills(_read_bills(context))
    totals = total_by_workspace(deduplicated)
    bills = sorted(
        (bill for bill in deduplicated if bill.workspace == workspace),
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
    """Shows the entry addresses that callers are given."""
    path = "/v1/entries"
    if context.settings.failure_domain:
        query = {"failure_domain": context.settings.failure_domain}
        path += "?" + urllib.parse.urlencode(query)
    response = decode_response(context.caller_api.get(path), EntriesResponse)
    table = Table(
        headings=("VM", "ADDRESS", "FAILURE DOMAIN"),
        rows=tuple(
            (entry.name, entry.address, entry.failure_domain)
            for entry in response.entries
        ),
    )
    context.console.show(table, f"valid for {response.ttl_ms} ms")
    context.console.record(**msgspec.to_builtins(response))
    return ExitStatus.DONE


def format_cost(cost_nano: int) -> str:
    """Formats a cost in units of the accounting currency."""
    whole, nano = divmod(cost_nano, _NANO)
    return f"{whole}.{nano:09d}"


def _read_bills(context: Context) -> Iterator[Bill]:
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
                f"the ledger's pages do not advance after {after!r}",
                "Check that the address is that of a daemon of this release.",
            )
        after = page.next_after


def _describe_in_force(response: FleetStatus) -> str:
    if response.in_force:
        return "in force on every live VM"
    return f"not yet in force on: {', '.join(response.missing)}"


def _describe_out_of_service(response: FleetStatus) -> tuple[str, ...]:
    lists = (
        ("failure domains out", response.failure_domains_out),
        ("VMs out", response.vms_out),
        ("withdrawn", response.withdrawn),
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


def _node_table(response: FleetStatus) -> Table:
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
            for node in response.nodes
        ),
    )
