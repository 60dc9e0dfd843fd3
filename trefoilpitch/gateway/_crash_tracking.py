"""Creates what keeps requests that end upstreams away from the others."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import (
    DocumentCodec,
    FleetStore,
    FleetView,
    UpstreamEntry,
)
from trefoilpitch.gateway._crash_evidence import CrashEvidence
from trefoilpitch.gateway._cut_attempts import CutAttempts
from trefoilpitch.gateway._examinations import UpstreamExaminations
from trefoilpitch.gateway._lost_evidence import LostEvidence
from trefoilpitch.gateway._node_settings import NodeSettings
from trefoilpitch.gateway._peers import PeerTable
from trefoilpitch.gateway._quarantine import Quarantine
from trefoilpitch.gateway._quarantine_records import QuarantineRecords
from trefoilpitch.gateway._upstream_probes import UpstreamProbes
from trefoilpitch.metrics import Metrics


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashTracking:
    """The parts that track under which requests upstreams end."""

    lost_evidence: LostEvidence
    quarantine: Quarantine
    records: QuarantineRecords
    cut_attempts: CutAttempts


def create_crash_tracking(
    settings: NodeSettings,
    view: FleetView,
    clock: Clock,
    metrics: Metrics,
    *,
    store: FleetStore,
    documents: DocumentCodec,
    peers: PeerTable,
    probes: UpstreamProbes,
    started_in_outage: Callable[[], bool],
    on_evidence: Callable[[], None],
    on_running: Callable[[UpstreamEntry], None],
) -> CrashTracking:
    """Creates the parts of one daemon.

    Args:
        settings: Settings of the daemon.
        view: Local copy of the shared fleet state.
        clock: Provides monotonic and wall-clock time.
        metrics: Counts the attempts that were cut off.
        store: Keeps quarantines.
        documents: Encodes their records.
        peers: The other daemons.
        probes: Finds out whether an upstream is running.
        started_in_outage: Returns whether the store was unavailable when the
            daemon started.
        on_evidence: Called after a change that other daemons should know soon.
        on_running: Called with an upstream that runs although a response was
            cut off.
    """
    evidence = CrashEvidence()
    lost_evidence = LostEvidence(
        view,
        clock,
        started_in_outage,
        own_name=settings.name,
        incarnation=settings.incarnation,
    )
    quarantine = Quarantine(
        evidence,
        clock,
        own_name=settings.name,
        live_peers=peers.alive,
        is_cautious=lost_evidence.is_likely,
    )
    records = QuarantineRecords(
        quarantine,
        evidence,
        clock,
        view=view,
        store=store,
        codec=documents,
        own_name=settings.name,
        live_peers=peers.alive,
    )
    examinations = UpstreamExaminations(
        view,
        clock,
        probe=probes.probe,
        ended_runs=lambda: evidence.ended_ms,
    )
    cut_attempts = CutAttempts(
        evidence,
        clock,
        metrics,
        on_evidence,
        examine=examinations.examine,
        on_running=on_running,
    )
    return CrashTracking(
        lost_evidence=lost_evidence,
        quarantine=quarantine,
        records=records,
        cut_attempts=cut_attempts,
    )
