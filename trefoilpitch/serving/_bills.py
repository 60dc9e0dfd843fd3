"""Prices runs and hands bills to the ledger."""

from __future__ import annotations

from typing import Protocol

from trefoilpitch.bundle import ModelVersion, VersionRef
from trefoilpitch.ledger import Bill, BillLine
from trefoilpitch.routing import RoutingTable


class BillSink(Protocol):
    """Takes the bills of finished requests."""

    def record(self, bill: Bill) -> None:
        """Takes a bill; it is written to the store in time."""

    def accepts_work(self) -> bool:
        """Returns whether the bills of new requests could be held."""


def model_version(
    table: RoutingTable, version: VersionRef
) -> ModelVersion | None:
    """Returns what the bundle says of a version."""
    model = table.models.get(version.model)
    if model is None:
        return None
    nodes = [node for node in model.versions if node.name == version.version]
    return nodes[0] if nodes else None


def model_line(
    table: RoutingTable,
    version: VersionRef,
    upstream: str,
    prompt_tokens: int,
    output_tokens: int,
) -> BillLine:
    """Returns the bill line of a run of a model version.

    A version that left the bundle while it ran is billed at no cost.
    """
    node = model_version(table, version)
    cost_nano = 0
    if node is not None:
        cost_nano = prompt_tokens * node.prompt_cost_nano
        cost_nano += output_tokens * node.output_cost_nano
    return BillLine(
        item=str(version),
        upstream=upstream,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        cost_nano=cost_nano,
    )


def service_line(service: str, upstream: str, cost_nano: int) -> BillLine:
    """Returns the bill line of a call of a plain service."""
    return BillLine(
        item=service,
        upstream=upstream,
        prompt_tokens=0,
        output_tokens=0,
        cost_nano=cost_nano,
    )
