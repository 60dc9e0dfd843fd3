"""Whether the node may take new work at all."""

from __future__ import annotations

from typing import Protocol

from trefoilpitch.serving._bills import BillSink
from trefoilpitch.serving._problems import RETRY_LATER_MS
from trefoilpitch.web import Outcome, Problem


class NodeStatus(Protocol):
    """What the gate needs to know of the node."""

    def is_ready(self) -> bool:
        """Returns whether the node has a configuration to serve."""

    def is_fresh(self) -> bool:
        """Returns whether the configuration may still be the newest."""

    def accepts_work(self) -> bool:
        """Returns whether the node is not about to end."""

    def is_in_service(self) -> bool:
        """Returns whether operators left the VM in service."""


class AdmissionGate:
    """Refuses new work that the node must not take.

    Args:
        node: The node's state.
        bills: Where the bills of the work would go.
    """

    def __init__(self, node: NodeStatus, bills: BillSink) -> None:
        self._node = node
        self._bills = bills

    def refusal(self, request_id: str) -> Problem | None:
        """Returns why new work is refused, or None where it is taken."""
        if not self._node.is_ready():
            return _refusal("not-ready", "no configuration yet", request_id)
        if not self._node.accepts_work():
            return _refusal("leaving", "this VM is leaving", request_id)
        if not self._node.is_in_service():
            title = "operators took this VM or its failure domain out"
            return _refusal("taken-out", title, request_id)
        if not self._node.is_fresh():
            title = "this VM is cut off and may miss changes"
            return _refusal("cut-off", title, request_id)
        if not self._bills.accepts_work():
            title = "too many bills wait for the store"
            return _refusal("ledger-full", title, request_id)
        return None


def _refusal(code: str, title: str, request_id: str) -> Problem:
    return Problem(
        status=503,
        code=code,
        title=title,
        detail="Ask GET /v1/entries for another address.",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=RETRY_LATER_MS,
        request_id=request_id,
    )
