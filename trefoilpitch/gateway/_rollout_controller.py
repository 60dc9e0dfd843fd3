"""Advances roll-outs in the store; every daemon runs a controller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import (
    ABSENT,
    CachedRolloutOrder,
    Condition,
    ConditionFailedError,
    DocumentCodec,
    FleetStore,
    FleetView,
    RolloutPhase,
    RolloutRecord,
    StoreUnavailableError,
)
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._paces import (
    PaceComparison,
    compare_paces,
    merge_counts,
    published_counts,
)
from trefoilpitch.gateway._peers import PaceReport, PeerTable, VersionCount
from trefoilpitch.gateway._rollouts import (
    RolloutStep,
    VersionEvidence,
    current_phase,
    lost_step,
    next_step,
)
from trefoilpitch.gateway._version_comparison import (
    StratifiedEvidence,
    VersionComparison,
)
from trefoilpitch.rendezvous import rank

# A daemon waits this long for each daemon that ranks before it, so that usually
# only one writes. A frozen or dead daemon delays a step by no more than this.
_RANK_DELAY_MS = 250
# Daemons beyond this rank write at the same time, which bounds the delay: it is
# enough that one of many succeeds.
_MAX_DELAY_RANK = 6
# A daemon that has just started leaves the first step to others for this long:
# if the store was restored, they know steps that it has lost.
_LISTED_ORDER_DELAY_MS = 2_000
_MS_PER_S = 1_000


class RolloutController:
    """Determines and writes the next steps of all roll-outs.

    Args:
        store: The store.
        codec: Encodes roll-out records.
        view: Local copy of the shared fleet state.
        dispatcher: Provides this daemon's evidence.
        peers: Provides the other daemons' evidence.
        clock: Provides monotonic time.
        own_name: Name of this VM.
        may_decide: Returns whether this daemon hears other daemons, or is the
            only one; otherwise their evidence is missing.
    """

    def __init__(
        self,
        *,
        store: FleetStore,
        codec: DocumentCodec,
        view: FleetView,
        dispatcher: Dispatcher,
        peers: PeerTable,
        clock: Clock,
        own_name: str,
        may_decide: Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store
        self._codec = codec
        self._view = view
        self._dispatcher = dispatcher
        self._peers = peers
        self._clock = clock
        self._own_name = own_name
        self._may_decide = may_decide
        # Order revision and comparison by service.
        self._comparisons: dict[str, tuple[int, VersionComparison]] = {}

    def own_counts(self) -> tuple[VersionCount, ...]:
        """Returns this daemon's evidence for publication in its heartbeat."""
        counts: list[VersionCount] = []
        for service, rollout in self._view.rollouts.items():
            off_target = self._dispatcher.in_flight_off_target(
                service, rollout.order.target
            )
            own = dict(self._dispatcher.own_evidence(service))
            strata = self._dispatcher.own_strata(service)
            own.setdefault(rollout.order.target, VersionEvidence())
            counts.extend(
                VersionCount(
                    service=service,
                    version=version,
                    order_revision=rollout.revision,
                    good=evidence.good,
                    failed=evidence.failed,
                    slow=evidence.slow,
                    off_target=off_target,
                    strata=_reported(strata.get(version, {})),
                )
                for version, evidence in own.items()
            )
        return tuple(counts)

    def own_paces(self) -> tuple[PaceReport, ...]:
        """Returns this daemon's paces for publication in its heartbeat."""
        reports: list[PaceReport] = []
        for service, rollout in self._view.rollouts.items():
            if self._has_ended(rollout):
                continue
            target, others = self._dispatcher.own_paces(
                service, rollout.order.target
            )
            reports.append(
                PaceReport(
                    service=service,
                    order_revision=rollout.revision,
                    target=published_counts(target),
                    others=published_counts(others),
                )
            )
        return tuple(reports)

    async def advance_rollouts(self) -> None:
        """Writes the next step of each roll-out for which one is due."""
        for rollout in list(self._view.rollouts.values()):
            self._stop_if_bad(rollout)
            step = self._next_step(rollout)
            if step is None:
                continue
            names = {self._own_name, *self._peers.alive()}
            key = f"{rollout.order.service}/{rollout.revision}"
            position = min(
                _MAX_DELAY_RANK, rank(key, names).index(self._own_name)
            )
            if position:
                await asyncio.sleep(position * _RANK_DELAY_MS / _MS_PER_S)
                step = self._next_step(rollout)
            if step is not None:
                await self._write(rollout, step)

    def stopped_orders(self) -> tuple[tuple[str, int], ...]:
        """Returns the stopped roll-outs for publication in heartbeats."""
        return tuple(
            (service, rollout.revision)
            for service, rollout in self._view.rollouts.items()
            if self._dispatcher.is_stopped(service, rollout.revision)
        )

    def adopt_stopped(self, stopped: Iterable[tuple[str, int]]) -> None:
        """Stops the roll-outs that a peer has stopped."""
        for service, order_revision in stopped:
            rollout = self._view.rollouts.get(service)
            if rollout is not None and rollout.revision == order_revision:
                self._stop(rollout, "a peer has stopped it")

    def _stop_if_bad(self, rollout: CachedRolloutOrder) -> None:
        """Stops a roll-out on the evidence of all daemons that are heard.

        Load pattern: a failure domain is cut off while a bad version is rolled
        out, or the daemons with the evidence are killed. Each side of the cut
        stops by itself, and the others as soon as they hear of it.
        """
        if self._has_ended(rollout):
            return
        evidence, _ = self._evidence(rollout)
        finding = self._compare_versions(rollout).finding(evidence)
        if finding is not None:
            self._stop(rollout, finding)
            return
        paces = self._compare_paces(rollout)
        if paces.is_slower:
            self._stop(rollout, f"paces of all daemons: {paces}")

    def _compare_versions(
        self, rollout: CachedRolloutOrder
    ) -> VersionComparison:
        """Compares the versions by route with what all daemons have told."""
        service = rollout.order.service
        revision, comparison = self._comparisons.get(service, (ABSENT, None))
        if comparison is None or revision != rollout.revision:
            comparison = VersionComparison(rollout.order.target)
            self._comparisons[service] = rollout.revision, comparison
        now_ms = self._clock.now_ms()
        if comparison.is_due(now_ms):
            # Collecting the reports of a large fleet takes milliseconds.
            reports: dict[str, StratifiedEvidence]
            reports = dict(self._peers.strata(service, rollout.revision))
            reports[self._own_name] = self._dispatcher.own_strata(service)
            comparison.update(reports, now_ms)
        return comparison

    def _stop(self, rollout: CachedRolloutOrder, reason: str) -> None:
        if self._has_ended(rollout):
            return
        service = rollout.order.service
        if self._dispatcher.stop_rollout(service, rollout.revision):
            log_event(
                "rollout_stopped",
                service=service,
                target=rollout.order.target,
                order_revision=rollout.revision,
                reason=reason,
            )

    def _has_ended(self, rollout: CachedRolloutOrder) -> bool:
        record = self._view.records.get(rollout.order.service)
        phase, _ = current_phase(rollout, record)
        return phase is not None and phase.final

    def _compare_paces(self, rollout: CachedRolloutOrder) -> PaceComparison:
        """Compares the paces of all daemons that are heard."""
        service = rollout.order.service
        target, others = self._dispatcher.own_paces(
            service, rollout.order.target
        )
        targets, references = self._peers.paces(service, rollout.revision)
        return compare_paces(
            merge_counts([target, *targets]),
            merge_counts([others, *references]),
        )

    def _evidence(
        self, rollout: CachedRolloutOrder
    ) -> tuple[dict[str, VersionEvidence], int]:
        """Sums own and peers' evidence, and in-flight requests off target."""
        service = rollout.order.service
        evidence, off_target = self._peers.evidence(service, rollout.revision)
        for version, counts in self._dispatcher.own_evidence(service).items():
            known = evidence.get(version, VersionEvidence())
            evidence[version] = known.merge(counts)
        off_target += self._dispatcher.in_flight_off_target(
            service, rollout.order.target
        )
        return evidence, off_target

    def _next_step(self, rollout: CachedRolloutOrder) -> RolloutStep | None:
        service = rollout.order.service
        if self._view.rollouts.get(service) != rollout or not rollout.stored:
            return None
        evidence, off_target = self._evidence(rollout)
        record = self._view.records.get(service)
        lost = lost_step(rollout, record)
        if lost is not None:
            return lost
        now_ms = self._clock.now_ms()
        if (
            record is None
            and rollout.listed
            and now_ms - rollout.seen_ms < _LISTED_ORDER_DELAY_MS
        ):
            return None
        step = next_step(
            rollout,
            record,
            evidence,
            off_target,
            now_ms,
            stopped=self._dispatcher.is_stopped(service, rollout.revision),
            compared=True,
            enough=self._compare_versions(rollout).has_enough(),
        )
        if step is None or step.phase is RolloutPhase.ROLLED_BACK:
            return step
        return step if self._may_decide() else None

    async def _write(
        self, rollout: CachedRolloutOrder, step: RolloutStep
    ) -> None:
        service = rollout.order.service
        known = self._view.records.get(service)
        record = RolloutRecord(
            service=service,
            target=rollout.order.target,
            order_revision=rollout.revision,
            phase=step.phase,
            percent=step.percent,
        )
        # A revision may occur again after a restore of the store; the order's
        # one makes it unlikely that both match by chance.
        conditions = (
            Condition(
                key=self._codec.rollout_key(service),
                revision=known.revision if known else ABSENT,
            ),
            Condition(
                key=self._codec.rollout_order_key(service),
                revision=rollout.revision,
            ),
        )
        outcome = "written"
        try:
            await self._store.commit(
                conditions=conditions,
                writes=self._codec.encode_rollout(record),
            )
            # Operators may have read the step already, and a restore may
            # lose it before the watch delivers it.
            self._view.record_step(record, self._clock.now_ms())
        except ConditionFailedError:
            outcome = "conflict: another daemon wrote first"
        except StoreUnavailableError as error:
            outcome = f"store unavailable: {error}"
        log_event(
            "rollout_step",
            service=service,
            target=rollout.order.target,
            phase=step.phase.value,
            percent=step.percent,
            reason=step.reason,
            outcome=outcome,
        )


def _reported(
    strata: Mapping[int, VersionEvidence],
) -> tuple[tuple[int, int, int, int], ...]:
    return tuple(
        (key, evidence.good, evidence.failed, evidence.slow)
        for key, evidence in strata.items()
    )
