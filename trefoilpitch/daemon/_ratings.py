"""Has sampled answers rated and hands the ratings on."""

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

# A rating that is later than this is given up.
_PATIENCE_MS = 600_000
_MAX_WAITING = 64
_CALLS_PER_TICK = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Waiting:
    # The answer that is being rated.
    delivered: DeliveredResponse
    # Identifies the rating at the service.
    ticket: str
    # When it is given up.
    until_ms: int


class RatingActor(pykka.ThreadingActor):
    """Submits samples and fetches scores on each tick.

    Args:
        client: The service that rates answers.
        version_monitor: Gives samples and takes ratings.
        table: Returns the newest configuration.
        clock: Tells when ratings are given up.
        metrics: Counts what became of samples.
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
        self._waiting: list[_Waiting] = []

    def on_receive(self, message: object) -> None:
        """Makes a bounded number of calls to the service."""
        if not isinstance(message, Tick):
            return
        oldest, rest = (
            self._waiting[:_CALLS_PER_TICK],
            self._waiting[_CALLS_PER_TICK:],
        )
        self._waiting = rest + [one for one in oldest if self._is_open(one)]
        for _ in range(_CALLS_PER_TICK):
            if len(self._waiting) >= _MAX_WAITING or not self._submit():
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
        waiting = _Waiting(
            delivered=delivered,
            ticket=rating.ticket,
            until_ms=self._clock.now_ms() + _PATIENCE_MS,
        )
        if rating.score is None:
            self._waiting.append(waiting)
        else:
            self._take(waiting, rating.score)
        return True

    def _is_open(self, waiting: _Waiting) -> bool:
        fetched = self._client.fetch(waiting.ticket)
        if isinstance(fetched, Success):
            score = fetched.unwrap().score
            if score is not None:
                self._take(waiting, score)
                return False
        if self._clock.now_ms() < waiting.until_ms:
            return True
        self._metrics.count("ratings_given_up")
        return False

    def _take(self, waiting: _Waiting, score: float) -> None:
        self._metrics.count("ratings")
        self._version_monitor.record_rating(
            self._table(), waiting.delivered, score
        )
