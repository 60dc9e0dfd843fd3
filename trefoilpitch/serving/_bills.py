"""Computes the lines of bills."""

from __future__ import annotations

from typing import Protocol

from trefoilpitch.bundle import ModelVersion, VersionRef
from trefoilpitch.ledger import Bill, BillLine
from trefoilpitch.routing import RoutingTable


class BillSink(Protocol):
    """Receives the bills of finished requests."""

    def record(self, bill: Bill) -> None:
        """Queues a bill to be written to the store."""

    def accepts_work(self) -> bool:
        """Returns whether there is room for the bills of new requests."""


def find_model_version(
    table: RoutingTable, version: VersionRef
) -> ModelVersion | None:
    """Returns a version's entry in the bundle; None if it has none."""
    model = table.models.get(version.model)
    if model is None:
        return None
    matches = [
        version_info
        for version_info in model.versions
        if version_info.name == version.version
    ]
    return matches[0] if matches else None


def model_line(
    table: RoutingTable,
    version: VersionRef,
    upstream: str,
    prompt_tokens: int,
    output_tokens: int,
) -> BillLine:
    """Returns the bill line of a run of a model version.

    A version that was removed from the bundle during the run costs nothing.
    """
    version_info = find_model_version(table, version)
    cost_nano = 0
    if version_info is not None:
        cost_nano = prompt_tokens * version_info.prompt_cost_nano
        cost_nano += output_tokens * version_info.output_cost_nano
    return BillLine(
        item=str(version),
        upstream=upstream,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        cost_nano=cost_nano,
    )


def service_line(service: str, upstream: str, cost_nano: int) -> BillLine:
    """Returns the bill line of a call to a plain service."""
    return BillLine(
        item=service,
        upstream=upstream,
        prompt_tokens=0,
        output_tokens=0,
        cost_nano=cost_nano,
    )
