"""Sends sampled responses to the rating service and records the scores."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import pykka
from returns.result import Success

from trefoilpitch.clock import Clock
from trefoilpitch.metrics import Metrics
from trefoilpitch.ratings import RatingClient, RatingRequest
from trefoilpitch.routing import RoutingTable
from trefoilpitch.serving import DeliveredResponse, VersionMonitor
from trefoilpitch.supervision import Tick

RATING_TICK_MS = 500

# A rating that takes longer is abandoned.
_RATING_TIMEOUT_MS = 600_000
_MAX_PENDING = 64
_CALLS_PER_TICK = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PendingRating:
    # The response that is being rated.
    delivered: DeliveredResponse
    # Identifies the rating in the service.
    ticket: str
    # When the rating is abandoned.
    expires_ms: int


class RatingActor(pykka.ThreadingActor):
    """Submits sampled responses and fetches scores on each tick.

    Args:
        client: The rating service.
        version_monitor: Supplies samples and records ratings.
        table: Returns the current routing table.
        clock: Times out ratings.
        metrics: Counts ratings by outcome.
    """

    def __init__(
        self,
        client: RatingClient,
        version_monitor: VersionMonitor,
        table: Callable[[], RoutingTable],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._client = client
        self._version_monitor = version_monitor
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._pending: list[_PendingRating] = []

    def on_receive(self, message: object) -> None:
        """Polls pending ratings and submits samples, with a bound on both."""
        if not isinstance(message, Tick):
            return
        oldest, rest = (
            self._pending[:_CALLS_PER_TICK],
            self._pending[_CALLS_PER_TICK:],
        )
        self._pending = rest + [one for one in oldest if self._is_pending(one)]
        for _ in range(_CALLS_PER_TICK):
            if len(self._pending) >= _MAX_PENDING or not self._submit():
                return

    def _submit(self) -> bool:
        delivered = self._version_monitor.take_sample()
        if delivered is None:
            return False
        messages = delivered.request.messages
        request = RatingRequest(
            task=delivered.request.task,
            version=delivered.plan.steps[delivered.step].version,
            prompt="\n".join(one.content for one in messages),
            response=delivered.text,
        )
        submitted = self._client.submit(request)
        if not isinstance(submitted, Success):
            self._metrics.count("rating_failures")
            return False
        rating = submitted.unwrap()
        pending = _PendingRating(
            delivered=delivered,
            ticket=rating.ticket,
            expires_ms=self._clock.now_ms() + _RATING_TIMEOUT_MS,
        )
        if rating.score is None:
            self._pending.append(pending)
        else:
            self._record(pending, rating.score)
        return True

    def _is_pending(self, pending: _PendingRating) -> bool:
        fetched = self._client.fetch(pending.ticket)
        if isinstance(fetched, Success):
            score = fetched.unwrap().score
            if score is not None:
                self._record(pending, score)
                return False
        if self._clock.now_ms() < pending.expires_ms:
            return True
        self._metrics.count("ratings_given_up")
        return False

    def _record(self, pending: _PendingRating, score: float) -> None:
        self._metrics.count("ratings")
        self._version_monitor.record_rating(
            self._table(), pending.delivered, score
        )
