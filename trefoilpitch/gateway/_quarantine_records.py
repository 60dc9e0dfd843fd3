"""Keeps quarantines in the store, and requests that are close to one.

Load pattern: daemons restart together, or cannot reach each other, while a
request that ends upstreams comes again. Daemons that have not seen the endings
learn of them from the store, before they serve anything.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Collection, Iterator

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import (
    DocumentCodec,
    FleetStore,
    FleetView,
    LeaseLostError,
    QuarantineRecord,
    StoreUnavailableError,
)
from trefoilpitch.gateway._crash_evidence import CrashEvidence, EvidenceReport
from trefoilpitch.gateway._culprits import Culprit
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._quarantine import Quarantine
from trefoilpitch.gateway._request_traits import trait_name
from trefoilpitch.rendezvous import rank

# Life of a record without further endings: the longest lease that the store
# grants, and as long as a quarantine.
_LEASE_MS = 600_000
# Endings in a record; the newest ones suffice for a quarantine.
_MAX_ENDINGS = 8
# Difference of two daemons' estimates of one ending.
_SAME_ENDING_MS = 1_000
# Number of live daemons that may write a record, and the time after which the
# next one does if it is still missing.
_WRITERS = 3
_TAKEOVER_MS = 1_000
# Pause after an attempt to write: the watch delivers the record sooner.
_RETRY_MS = 3_000


class QuarantineRecords:
    """Writes records of this daemon's quarantines, and adopts stored ones.

    Args:
        quarantine: The quarantines.
        evidence: The evidence that they are based on.
        clock: Provides monotonic and wall-clock time.
        view: Local copy of the shared fleet state.
        store: The store.
        codec: Encodes the records.
        own_name: Name of this VM.
        live_peers: Returns the names of the other live daemons.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        evidence: CrashEvidence,
        clock: Clock,
        *,
        view: FleetView,
        store: FleetStore,
        codec: DocumentCodec,
        own_name: str,
        live_peers: Callable[[], Collection[str]],
    ) -> None:
        self._quarantine = quarantine
        self._evidence = evidence
        self._view = view
        self._store = store
        self._codec = codec
        self._clock = clock
        self._own_name = own_name
        self._live_peers = live_peers
        self._adopted: dict[str, QuarantineRecord] = {}
        # Monotonic time since when a record is missing or outdated.
        self._due_since_ms: dict[str, int] = {}
        # Monotonic time until which no attempt to write is made.
        self._retry_at_ms: dict[str, int] = {}

    def adopt(self) -> None:
        """Adds the evidence of stored records that are new to this daemon."""
        known = self._adopted
        self._adopted = dict(self._view.quarantines)
        for name, record in self._adopted.items():
            if known.get(name) != record:
                self._quarantine.merge(self._report(record))

    async def synchronize(self) -> None:
        """Writes the records that the store should have, if it is its turn."""
        now_ms = self._clock.now_ms()
        records = {
            record.name: record
            for record in map(self._record, self._known())
            if self._is_due(record)
        }
        for name in self._due_since_ms.keys() - records.keys():
            del self._due_since_ms[name]
            self._retry_at_ms.pop(name, None)
        for name, record in records.items():
            since_ms = self._due_since_ms.setdefault(name, now_ms)
            names = {self._own_name, *self._live_peers()}
            turn = rank(name, names).index(self._own_name)
            if turn >= _WRITERS:
                continue
            due_ms = since_ms + turn * _TAKEOVER_MS
            if now_ms >= max(due_ms, self._retry_at_ms.get(name, due_ms)):
                self._retry_at_ms[name] = now_ms + _RETRY_MS
                await self._write(record)

    def notify_store_returned(self) -> None:
        """Writes at once what could not be written in an outage."""
        self._retry_at_ms.clear()

    def _known(self) -> Iterator[Culprit]:
        """Yields what others should know if all daemons are killed now."""
        yield from self._quarantine.culprits()
        yield from self._quarantine.suspects()

    def _record(self, culprit: Culprit) -> QuarantineRecord:
        traits = tuple(sorted(culprit.traits))
        names = ",".join(trait_name(trait) for trait in traits)
        # Endings are exchanged as ages, so that their wall-clock times are
        # those of this daemon's clock.
        offset_ms = self._clock.wall_ms() - self._clock.now_ms()
        endings = sorted(
            (self._evidence.ended_ms[upstream] + offset_ms, upstream)
            for upstream in culprit.upstreams
        )
        return QuarantineRecord(
            name=f"{zlib.crc32(names.encode()):08x}",
            traits=traits,
            endings=tuple(
                (upstream, wall_ms)
                for wall_ms, upstream in endings[-_MAX_ENDINGS:]
            ),
        )

    def _is_due(self, record: QuarantineRecord) -> bool:
        stored = self._view.quarantines.get(record.name)
        if stored is None:
            return True
        return stored.last_wall_ms + _SAME_ENDING_MS < record.last_wall_ms

    async def _write(self, record: QuarantineRecord) -> None:
        outcome = "written"
        try:
            lease_id = await self._store.grant_lease(_LEASE_MS)
            await self._store.commit(
                writes=(self._codec.encode_quarantine(record, lease_id),)
            )
        except (LeaseLostError, StoreUnavailableError) as error:
            outcome = f"not written: {error}"
        log_event(
            "quarantine_stored",
            traits=[trait_name(trait) for trait in record.traits],
            endings=len(record.endings),
            outcome=outcome,
        )

    def _report(self, record: QuarantineRecord) -> EvidenceReport:
        """Returns a record as the evidence of another daemon."""
        wall_ms = self._clock.wall_ms()
        ended = tuple(
            (upstream, max(0, wall_ms - ended_wall_ms))
            for upstream, ended_wall_ms in record.endings
        )
        mask = (1 << len(ended)) - 1
        return EvidenceReport(
            ended=ended,
            traits=tuple((trait, mask, mask) for trait in record.traits),
            # Other responses went well when the quarantine began.
            newest_sound_age_ms=max(age_ms for _, age_ms in ended),
        )
