"""The endpoint that lists entry VMs for callers."""

from __future__ import annotations

import random
from typing import Protocol

import msgspec

from trefoilpitch.clock import Clock
from trefoilpitch.entries import EntryList, choose_entries
from trefoilpitch.identity import issue_key_prefix
from trefoilpitch.membership import MembershipView
from trefoilpitch.serving import ConfigurationSource
from trefoilpitch.web import (
    Outcome,
    Problem,
    Request,
    Response,
    problem_response,
)

_SEED_BITS = 63
_RETRY_MS = 1_000


class ViewSource(Protocol):
    """Provides this node's view of the fleet."""

    def view(self) -> MembershipView:
        """Returns the current view."""


class _EntryBody(msgspec.Struct):
    name: str
    address: str
    failure_domain: str


class _EntriesBody(msgspec.Struct):
    entries: list[_EntryBody]
    ttl_ms: int
    key_prefix: str


class EntriesEndpoint:
    """Handles ``GET /v1/entries``.

    Args:
        views: Provides the view of the fleet.
        configuration: Lists the VMs and failure domains out of service.
        incarnation: The home of the issued key prefixes.
        clock: Measures the view's age and dates the key prefixes.
        rng: Distributes callers over the VMs.
    """

    def __init__(
        self,
        *,
        views: ViewSource,
        configuration: ConfigurationSource,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._views = views
        self._configuration = configuration
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng

    def handle(self, request: Request) -> Response:
        """Returns the entry list for a caller."""
        now_ms = self._clock.now_ms()
        chosen = choose_entries(
            self._views.view(),
            self._configuration.table().configuration,
            request.query.get("failure_domain"),
            now_ms,
            self._rng.getrandbits(_SEED_BITS),
        )
        if not chosen.entries:
            return problem_response(_no_entries_problem(chosen))
        body = _EntriesBody(
            entries=[
                _EntryBody(entry.name, entry.address, entry.failure_domain)
                for entry in chosen.entries
            ],
            ttl_ms=chosen.ttl_ms,
            key_prefix=issue_key_prefix(self._incarnation, now_ms),
        )
        return Response(body=msgspec.json.encode(body))


def _no_entries_problem(chosen: EntryList) -> Problem:
    reason = chosen.reason.value if chosen.reason else "unknown"
    return Problem(
        status=503,
        code="no-entries",
        title=f"no VM takes requests: {reason}",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=_RETRY_MS,
    )
