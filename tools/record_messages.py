"""Records the messages of a build, as fixtures for the tests of mixed builds.

Daemons of two builds run side by side while VMs are replaced. The tests decode
the messages that this program has recorded with the build before. It runs on a
checkout of that build, whose modules come first on the path::

    git worktree add .old 634f958
    PYTHONPATH=.old python tools/record_messages.py 634f958 > FIXTURE
"""

from __future__ import annotations

import base64
import json
import sys

import msgspec

from trefoilpitch.fleet import (
    Item,
    ItemBatch,
    Member,
    QuarantineRecord,
    RolloutPhase,
    RolloutRecord,
    UpstreamEntry,
    UpstreamState,
    Write,
)
from trefoilpitch.gateway._crash_evidence import EvidenceReport
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._peers import (
    EvidenceMessage,
    Heartbeat,
    PaceReport,
    VersionCount,
    encode_batch,
    encode_heartbeat,
)
from trefoilpitch.gateway._relay_messages import (
    failure_headers,
    forwarded_headers,
    probe_headers,
    relay_headers,
)
from trefoilpitch.gateway._upstream_links import Reachability
from trefoilpitch.platform._documents import PlatformDocuments
from trefoilpitch.retries import FailureKind

_DIGESTS = [number * 2_654_435_761 % (1 << 32) for number in range(1, 91)]
_EVIDENCE = EvidenceReport(
    ended=tuple((digest, 60_000) for digest in _DIGESTS[:24]),
    traits=tuple((digest, 1 << 23, 1 << 22) for digest in _DIGESTS[:24]),
    sound=tuple((digest, 61_000) for digest in _DIGESTS[:16]),
    newest_sound_age_ms=100,
)
_VERSIONS = (
    VersionCount("chat", "v1", 300, 120, 3, 2, 9),
    VersionCount("chat", "v2", 300, 0, 0, 0, 9),
)
_PACES = (PaceReport("chat", 300, {5: {13: 2}}, {4: {9: 7, 10: 1}}),)
_REQUIRED = Heartbeat(
    node="front-suva-central-12",
    incarnation="0123456789ab",
    sequence=1,
    revision=321,
    current=False,
    store_reachable=False,
    ready=False,
    versions=(),
)
_FULL = msgspec.structs.replace(
    _REQUIRED,
    sequence=900,
    current=True,
    store_reachable=True,
    ready=True,
    versions=_VERSIONS,
    in_flight={digest: 3 for digest in _DIGESTS[:9]},
    era=2,
    configuration=58,
    stopped=(("chat", 300),),
    unreachable=tuple(_DIGESTS[:3]),
    traits=EvidenceReport(
        ended=_EVIDENCE.ended[:2],
        traits=((_DIGESTS[5], 3, 1),),
        sound=_EVIDENCE.sound[:1],
        newest_sound_age_ms=100,
    ),
    paces=_PACES,
    confirmed_age_ms=140,
    relay_room=128,
    links_doubted=True,
    rejection_limits={"plain": 5},
)
_STRATA = {stratum: dict.fromkeys(range(8), 9) for stratum in _DIGESTS[:8]}
# Larger than a datagram: in parts of its own, and with details left out.
_LARGE = msgspec.structs.replace(
    _FULL,
    in_flight={digest: 1 for digest in _DIGESTS},
    unreachable=tuple(_DIGESTS[:20]),
    traits=_EVIDENCE,
    paces=(PaceReport("chat", 300, _STRATA, _STRATA),),
)
_ENTRY = UpstreamEntry(
    upstream_id="i-0123456789",
    service="chat",
    host="127.0.0.1",
    port=7_001,
    failure_domain="suva",
    version="v1",
    slots=16,
    state=UpstreamState.READY,
    cold_left_ms=0,
    started_wall_ms=1_770_000_000_000,
)
_BATCH = ItemBatch(
    items=(
        Item(key="op/config", value=b'{"version": 1}', revision=320),
        Item(key="servers/i-0123456789", value=None, revision=321),
    ),
    revision=321,
    era=2,
    complete=True,
)


def _text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _headers(headers: object) -> list[list[str]]:
    assert isinstance(headers, list)
    return [[n.decode("latin-1"), v.decode("latin-1")] for n, v in headers]


def _writes() -> list[Write]:
    documents = PlatformDocuments()
    member = Member(
        name="vm-1",
        incarnation="0123456789ab",
        caller_address="10.0.0.1:8080",
        peer_host="10.0.0.1",
        peer_port=8_083,
        heartbeat_port=9_000,
        failure_domain="suva",
    )
    quarantine = QuarantineRecord(
        name="5c1e07a2",
        traits=(7, 11),
        endings=((_DIGESTS[0], 1_770_000_000_000), (_DIGESTS[1], 1)),
    )
    rollouts = [
        RolloutRecord(
            service=f"service-{phase.value}",
            target="v2",
            order_revision=300,
            phase=phase,
            percent=25,
        )
        for phase in RolloutPhase
    ]
    return [
        documents.encode_member(member, 5),
        documents.encode_quarantine(quarantine, 6),
        *(documents.encode_rollout(record)[0] for record in rollouts),
    ]


def _record(build: str) -> dict[str, object]:
    return {
        "build": build,
        "heartbeats": {
            "required-fields": [_text(d) for d in encode_heartbeat(_REQUIRED)],
            "all-fields": [_text(d) for d in encode_heartbeat(_FULL)],
            "large": [_text(d) for d in encode_heartbeat(_LARGE)],
        },
        "evidence": _text(msgspec.msgpack.encode(EvidenceMessage(_EVIDENCE))),
        "batch": _text(encode_batch(_BATCH)),
        "empty-batch": _text(encode_batch(ItemBatch(items=(), revision=0))),
        "relayed-request": _headers(
            relay_headers(
                [(b"Host", b"host")], _ENTRY, origin="vm-1", timeout_ms=900
            )
        ),
        "relayed-response": _headers(
            forwarded_headers([(b"a", b"b")], delimited=True)
        ),
        "relay-failures": {
            kind.value: _headers(failure_headers(ExchangeError(kind, "detail")))
            for kind in FailureKind
        },
        "probe-responses": {
            result.value: _headers(probe_headers(result))
            for result in Reachability
        },
        "documents": {write.key: _text(write.value) for write in _writes()},
    }


def main() -> int:
    """Prints the messages as JSON; returns the exit status."""
    json.dump(_record(sys.argv[1]), sys.stdout, indent=1, sort_keys=True)
    print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
