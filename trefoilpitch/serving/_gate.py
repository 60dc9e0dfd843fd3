"""Decides whether the node may admit new requests."""

from __future__ import annotations

from typing import Protocol

from trefoilpitch.serving._bills import BillSink
from trefoilpitch.serving._problems import LONG_RETRY_AFTER_MS
from trefoilpitch.web import Outcome, Problem


class NodeStatus(Protocol):
    """The state of the node that admission depends on."""

    def is_ready(self) -> bool:
        """Returns whether the node has received a configuration."""

    def is_fresh(self) -> bool:
        """Returns whether the configuration is confirmed to be in force."""

    def accepts_work(self) -> bool:
        """Returns whether the node is not in the last phase of its shutdown."""

    def is_in_service(self) -> bool:
        """Returns whether the VM and its failure domain are in service."""


class AdmissionGate:
    """Refuses new requests that the node must not admit.

    Args:
        node: The node's state.
        bills: Receives the bills of admitted requests.
    """

    def __init__(self, node: NodeStatus, bills: BillSink) -> None:
        self._node = node
        self._bills = bills

    def refusal(self, request_id: str) -> Problem | None:
        """Returns why a new request is refused; None if it is admitted."""
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
        retry_after_ms=LONG_RETRY_AFTER_MS,
        request_id=request_id,
    )
