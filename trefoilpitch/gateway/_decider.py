"""Writes the steps of roll-outs; any daemon may be the one that does."""

from __future__ import annotations

import asyncio

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import (
    ABSENT,
    CachedRolloutOrder,
    Condition,
    ConditionFailedError,
    DocumentCodec,
    FleetStore,
    FleetView,
    RolloutRecord,
    StoreUnavailableError,
)
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._peers import PeerTable, VersionCount
from trefoilpitch.gateway._rollouts import (
    RolloutStep,
    VersionEvidence,
    next_step,
)
from trefoilpitch.rendezvous import rank

# A daemon waits this long for each one that ranks before it, so that mostly
# one writes; a frozen or dead one delays a step by no more.
_TURN_MS = 250
# The daemons after this place try together: one of many is enough.
_LAST_TURN = 6
_MS_PER_S = 1_000


class RolloutDecider:
    """Decides and writes the next steps of all roll-outs.

    Args:
        store: The store.
        codec: Encodes records.
        view: What the fleet shares.
        dispatcher: Holds this daemon's evidence.
        peers: Hold the others'.
        clock: Monotonic time.
        own_name: This VM.
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
    ) -> None:
        self._store = store
        self._codec = codec
        self._view = view
        self._dispatcher = dispatcher
        self._peers = peers
        self._clock = clock
        self._own_name = own_name

    def own_counts(self) -> tuple[VersionCount, ...]:
        """Returns this daemon's evidence for its heartbeat."""
        counts: list[VersionCount] = []
        for service, rollout in self._view.rollouts.items():
            off_target = self._dispatcher.in_flight_off_target(
                service, rollout.order.target
            )
            seen = dict(self._dispatcher.own_evidence(service))
            seen.setdefault(rollout.order.target, VersionEvidence())
            counts.extend(
                VersionCount(
                    service=service,
                    version=version,
                    order_revision=rollout.revision,
                    good=evidence.good,
                    bad=evidence.bad,
                    off_target=off_target,
                )
                for version, evidence in seen.items()
            )
        return tuple(counts)

    async def decide(self) -> None:
        """Takes the next step of each roll-out that is due."""
        for rollout in list(self._view.rollouts.values()):
            step = self._next_step(rollout)
            if step is None:
                continue
            names = {self._own_name, *self._peers.alive()}
            key = f"{rollout.order.service}/{rollout.revision}"
            turn = min(_LAST_TURN, rank(key, names).index(self._own_name))
            if turn:
                await asyncio.sleep(turn * _TURN_MS / _MS_PER_S)
                step = self._next_step(rollout)
            if step is not None:
                await self._write(rollout, step)

    def _next_step(self, rollout: CachedRolloutOrder) -> RolloutStep | None:
        service = rollout.order.service
        if self._view.rollouts.get(service) != rollout:
            return None
        evidence, off_target = self._peers.evidence(service, rollout.revision)
        own = self._dispatcher.own_evidence(service)
        for version, seen in own.items():
            known = evidence.get(version, VersionEvidence())
            evidence[version] = known.plus(seen)
        off_target += self._dispatcher.in_flight_off_target(
            service, rollout.order.target
        )
        return next_step(
            rollout,
            self._view.records.get(service),
            evidence,
            off_target,
            self._clock.now_ms(),
        )

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
        condition = Condition(
            key=self._codec.rollout_key(service),
            revision=known.revision if known else ABSENT,
        )
        outcome = "written"
        try:
            await self._store.commit(
                conditions=(condition,),
                writes=self._codec.encode_rollout(record),
            )
        except ConditionFailedError:
            outcome = "another daemon was first"
        except StoreUnavailableError as error:
            outcome = f"store: {error}"
        log_event(
            "rollout_step",
            service=service,
            target=rollout.order.target,
            phase=step.phase.value,
            percent=step.percent,
            reason=step.reason,
            outcome=outcome,
        )
