"""Finds the upstreams of one request, and waits for them.

Load pattern: upstreams are saturated, cold, paused or ejected while the request
has time left. It waits as long as it can still begin in time; if that cannot be
expected, it is refused while its caller can come back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Hashable

from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._admission import Admitted
from trefoilpitch.gateway._admission_control import NotInTime
from trefoilpitch.gateway._attempt_credit import AttemptCredit
from trefoilpitch.gateway._attempts import Attempts, refusal_delay_ms
from trefoilpitch.gateway._dispatcher import NoUpstream
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._messages import CallerRequest
from trefoilpitch.gateway._refusals import MIN_ATTEMPT_MS, refusal_retry_ms
from trefoilpitch.gateway._request_dependencies import RequestDependencies
from trefoilpitch.gateway._tier_choice import TierChoice
from trefoilpitch.gateway._waiting import WaitTerms
from trefoilpitch.retries import Execution

# Part of the objective after which a refusal harms a caller.
_REVIEW_SHARE = 0.125
# Part of the objective that the time to the first part of a response counts at
# most: measured times contain the waits at saturated upstreams.
_MAX_NEED_SHARE = 0.5
# Multiple of that time that is left before the deadline: half of all responses
# take longer than expected, and the work differs tenfold.
_NEED_FACTOR = 2
_MS_PER_S = 1_000


class UpstreamSearch:
    """Finds upstreams for the attempts of one request.

    Args:
        deps: Collaborators that all requests of the daemon share.
        request: The request.
        admitted: Its route and workspace.
        service: The service that runs it.
        tiers: Names its model.
        attempted: Upstreams that were attempted; chosen again only if there is
            no other. Changes with the attempts.
        credit: The retry budget that its attempts use.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        request: CallerRequest,
        admitted: Admitted,
        service: str,
        tiers: TierChoice,
        *,
        attempted: Collection[str],
        credit: AttemptCredit,
    ) -> None:
        self._deps = deps
        self._request = request
        self._admitted = admitted
        self._service = service
        self._tiers = tiers
        self._attempted = attempted
        self._credit = credit
        # Whether it exceeds its workspace's usual rate; None before the first
        # attempt.
        self._excess: bool | None = None

    async def find(
        self, attempts: Attempts, deadline_ms: int, *, started: bool
    ) -> UpstreamEntry | NoUpstream:
        """Chooses an upstream; waits if none is free at the moment.

        Args:
            attempts: The attempts so far.
            deadline_ms: Monotonic time of the request's deadline.
            started: Whether the caller has received a part of the response,
                which then waits until the deadline.
        """
        if started:
            await asyncio.sleep(refusal_delay_ms(attempts) / _MS_PER_S)
        now_ms = self._deps.clock.now_ms()
        if deadline_ms - now_ms < MIN_ATTEMPT_MS:
            return NoUpstream(reason="deadline reached", available_in_ms=None)
        if self._excess is None:
            self._excess = self._deps.waiter.record_arrival(
                self._service,
                self._admitted.priority,
                self._admitted.workspace,
            )
        terms = self._terms(attempts, deadline_ms, started=started)
        found = await self._deps.waiter.wait(self._service, self.choose, terms)
        if isinstance(found, NotInTime):
            self._log_refusal(found, now_ms)
        return found

    def choose(
        self, unusable: Collection[str] = ()
    ) -> UpstreamEntry | NoUpstream:
        """Chooses an upstream at once.

        Args:
            unusable: Upstreams that are not chosen.
        """
        if not self._credit.affords():
            return NoUpstream(
                reason="retry budget exhausted", available_in_ms=None
            )
        found = self._deps.dispatcher.choose(
            self._request,
            self._service,
            model=self._tiers.model,
            excluded=self._attempted,
            unusable=unusable,
            route=self._admitted.route.name,
        )
        if isinstance(found, UpstreamEntry):
            self._credit.reserve()
        return found

    def _terms(
        self, attempts: Attempts, deadline_ms: int, *, started: bool
    ) -> WaitTerms:
        request = self._request
        route = self._admitted.route
        arrived_ms = request.http.arrived_ms
        target_ms = route.target_latency_ms
        need_ms = 0
        due_ms = until_ms = deadline_ms - MIN_ATTEMPT_MS
        refusable = not started and attempts.execution is Execution.NOT_RUN
        if target_ms:
            need_ms = self._need_ms(target_ms)
            due_ms = arrived_ms + target_ms - need_ms
        if refusable:
            margin_ms = max(MIN_ATTEMPT_MS, _NEED_FACTOR * need_ms)
            until_ms = deadline_ms - margin_ms
        shared = request.prefix[:-1]
        return WaitTerms(
            priority=self._admitted.priority,
            workspace=self._admitted.workspace,
            until_ms=until_ms,
            due_ms=min(due_ms, until_ms),
            review_ms=self._deps.clock.now_ms()
            + int(_REVIEW_SHARE * target_ms),
            since_ms=arrived_ms,
            started=started,
            refusable=refusable,
            excess=bool(self._excess),
            session=request.session,
            subject=shared[-1].part_id if shared else None,
            group=self._group(),
        )

    def _need_ms(self, target_ms: int) -> int:
        """Returns the time that an upstream needs for the first part."""
        expected_ms = self._deps.expected_latencies.expected_ms(
            self._tiers.latency_key, default_ms=0.0
        )
        return int(min(expected_ms, _MAX_NEED_SHARE * target_ms))

    def _group(self) -> Hashable:
        """Identifies requests that can use the same places."""
        deps = self._deps
        view = deps.view
        version = None
        if self._service in view.rollouts or self._service in view.records:
            # A roll-out assigns versions to sessions and requests.
            version = self._request.session or self._request.request_id
        return (self._tiers.model, bool(self._attempted), version)

    def _log_refusal(self, refusal: NotInTime, began_ms: int) -> None:
        expected = refusal.expected
        log_event(
            "request_refused",
            id=self._request.request_id,
            service=self._service,
            workspace=self._admitted.workspace,
            priority=self._admitted.priority,
            reason=refusal.reason,
            excess=refusal.excess,
            waited_ms=self._deps.clock.now_ms() - began_ms,
            forecast_ms=expected and round(expected.wait_ms),
            forecast_spread_ms=expected and round(expected.spread_ms),
            retry_after_ms=refusal_retry_ms(refusal.available_in_ms),
        )
