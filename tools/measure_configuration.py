"""Measures the cost of the configuration; writes a table and a JSON file.

Usage: ``python -m tools.measure_configuration [--write=false]``

Sizes are those of the actual encodings, times are processor time on this
machine. Rates per node are calculated from both for the fleet size that the
project is designed for; the names of these figures begin with "worked out".
"""

from __future__ import annotations

import dataclasses
import functools
import gc
import json
import pathlib
import platform
import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec
from absl import app, flags

from tools.results import commit
from trefoilpitch.bundle import (
    Bundle,
    Upstream,
    VersionRef,
    check_bundle,
    decode_bundle,
    encode_bundle,
    make_patch,
)
from trefoilpitch.configuration import (
    EMPTY_CONFIGURATION,
    Change,
    Configuration,
    Delta,
    SetFailureDomain,
    SetVm,
    SignOffBundle,
    WithdrawVersion,
    apply_change,
)
from trefoilpitch.configuration._codec import (
    configuration_digest,
    encode_delta,
    encode_snapshot,
)
from trefoilpitch.configuration._deltas import (
    apply_delta,
    record_change,
)
from trefoilpitch.configuration._plan import MAX_HEAD_DELTA_BYTES
from trefoilpitch.configuration.replication import (
    PAYLOAD_KINDS,
    DomainContact,
    MessageReceived,
    PeerNode,
    PeersChanged,
    ReplicaEvent,
    ReplicaSettings,
    ReplicaState,
    RevisionProbe,
    RevisionReply,
    SendMessage,
    Tick,
    create_replica,
    plan_links,
    step,
)
from trefoilpitch.peering import (
    PeerIdentity,
    PeerKeys,
    create_frame_codec,
    create_payload_registry,
)

_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_RESULTS = _ROOT / "docs" / "measurements" / "configuration.json"
_EXAMPLE = _ROOT / "examples" / "archive.toml"

_WORKERS = 3_600
_NODES_PER_DOMAIN = 43
_DOMAINS = tuple("abcdefghi")
_CHANGES_PER_DAY = 9_100
_SECONDS_PER_DAY = 86_400


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """One measured or calculated number."""

    name: str
    # Number of upstreams in the configuration; 0 if it does not matter.
    upstreams: int
    value: float
    # Unit of the value.
    unit: str


def _large_bundle(bundle: Bundle, workers: int) -> Bundle:
    first = bundle.pools[0].upstreams[0]

    def upstream(number: int) -> Upstream:
        return dataclasses.replace(
            first,
            name=f"engine-{number:05}",
            address=f"10.0.{number // 250}.{number % 250 + 1}:9000",
            failure_domain=bundle.failure_domains[number % 3],
        )

    pool = dataclasses.replace(
        bundle.pools[0], upstreams=tuple(upstream(n) for n in range(workers))
    )
    return dataclasses.replace(bundle, pools=(pool, *bundle.pools[1:]))


def _next_version(bundle: Bundle) -> Bundle:
    changed_workspace = dataclasses.replace(bundle.workspaces[0], weight=9)
    workspaces = (changed_workspace, *bundle.workspaces[1:])
    return dataclasses.replace(bundle, version=2, workspaces=workspaces)


def _cpu_ms(work: Callable[[], object], repeats: int = 5) -> float:
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return round(best * 1_000, 3)


def _apply(before: Configuration, delta: Delta) -> str:
    return configuration_digest(apply_delta(before, delta).unwrap())


def _changes(bundle: Bundle) -> dict[str, Change]:
    return {
        "VM out": SetVm(
            change_id="0123456789abcdef",
            author="operator",
            vm="engine-00001",
            in_service=False,
        ),
        "failure domain out": SetFailureDomain(
            change_id="0123456789abcdef",
            author="operator",
            failure_domain=bundle.failure_domains[0],
            in_service=False,
        ),
        "version withdrawn": WithdrawVersion(
            change_id="0123456789abcdef",
            author="operator",
            ref=VersionRef(
                bundle.models[0].name, bundle.models[0].versions[1].name
            ),
        ),
        "sign-off of one changed weight": SignOffBundle(
            change_id="0123456789abcdef",
            author="operator",
            bundle=_next_version(bundle),
        ),
    }


def _in_force(bundle: Bundle) -> Configuration:
    change = SignOffBundle(change_id="1", author="operator", bundle=bundle)
    return apply_change(EMPTY_CONFIGURATION, change).unwrap()


def _measure_bundle(bundle: Bundle) -> list[Figure]:
    upstreams = sum(len(pool.upstreams) for pool in bundle.pools)
    before = _in_force(bundle)

    def figure(name: str, value: float, unit: str) -> Figure:
        return Figure(name=name, upstreams=upstreams, value=value, unit=unit)

    figures = [
        figure("bundle", len(encode_bundle(bundle)), "bytes"),
        figure("snapshot", len(encode_snapshot(before)), "bytes"),
    ]
    for name, change in _changes(bundle).items():
        delta = Delta(revision=2, change=record_change(before, change))
        size = len(encode_delta(delta))
        applied = _cpu_ms(functools.partial(_apply, before, delta))
        figures.append(figure(f"delta: {name}", size, "bytes"))
        figures.append(figure(f"apply and verify: {name}", applied, "ms"))
    checked = _cpu_ms(lambda: check_bundle(bundle))
    patched = _cpu_ms(lambda: make_patch(bundle, _next_version(bundle)))
    figures.append(figure("check a bundle", checked, "ms"))
    figures.append(figure("make a patch", patched, "ms"))
    figures.append(figure("memory of it", _memory_mb(bundle), "MB"))
    return figures


def _memory_mb(bundle: Bundle) -> float:
    """Returns the memory of a decoded bundle and its encoding."""
    encoded = encode_bundle(bundle)
    gc.collect()
    tracemalloc.start()
    copy = msgspec.msgpack.decode(encoded)["bundle"]
    held = msgspec.convert(copy, Bundle), bytes(bytearray(encoded))
    del copy
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return round(size / 1e6, 3)


def _frame_bytes(payload: object) -> int:
    """Returns the size of a frame that carries one message."""
    identity = PeerIdentity(
        deployment="deployment",
        name="vm-a-01",
        incarnation="0123456789abcdef",
        address="10.0.0.1:9000",
    )
    codec = create_frame_codec(
        identity=identity,
        keys=PeerKeys(current=b"0" * 32),
        registry=create_payload_registry(PAYLOAD_KINDS),
    )
    return len(codec.seal(identity.address, [codec.encode(payload).unwrap()]))


def _exchange_bytes() -> int:
    """Returns the size of a probe and a reply without deltas."""
    contacts = tuple(
        DomainContact(failure_domain=f"domain-{d}", age_ms=999, revision=10**6)
        for d in _DOMAINS
    )
    reply = RevisionReply(
        nonce=10**6,
        revision=10**6,
        digest="0" * 64,
        head_revision=10**6,
        proof_age_ms=1_000,
        contacts=contacts,
    )
    probe = RevisionProbe(nonce=10**6, revision=10**6)
    return _frame_bytes(probe) + _frame_bytes(reply)


def _measure_control(delta_bytes: float) -> list[Figure]:
    """Calculates the control traffic of a node at the designed fleet size."""
    settings = ReplicaSettings(name="n", failure_domain="a", address="n")
    nodes = [
        PeerNode(name=f"{d}-{n}", failure_domain=d, address=f"{d}-{n}")
        for d in _DOMAINS
        for n in range(_NODES_PER_DOMAIN)
    ]
    links = [
        plan_links(
            node, [n for n in nodes if n != node], settings.relays_per_domain
        )
        for node in nodes
    ]
    relays = [link for link in links if link.is_relay]
    clients = max(len(link.clients) for link in relays)
    exchange = _exchange_bytes()
    changes = _CHANGES_PER_DAY / _SECONDS_PER_DAY
    reads = 1_000 / settings.read_interval_ms
    node_probes = 1_000 / settings.probe_interval_ms
    relay_probes = 1_000 / settings.relay_probe_interval_ms
    # Each link is notified of a change and then fetches its delta.
    per_link = changes * (delta_bytes + 2 * exchange)
    # Relays probe each other, so each one sends as many probes as it receives.
    relay_exchanges = 2 * relay_probes + clients * node_probes
    change_traffic = (len(relays[0].relays) + clients) * per_link
    head = (reads + changes) * MAX_HEAD_DELTA_BYTES
    relay = relay_exchanges * exchange + change_traffic + head
    node = node_probes * exchange * 1.5 + per_link
    rates = (
        ("probe and answer, framed, nine domains", exchange, "bytes"),
        ("clients of the busiest relay", clients, "nodes"),
        ("worked out: exchanges of that relay", relay_exchanges, "1/s"),
        ("worked out: node, traffic", node, "bytes/s"),
        ("worked out: that relay, traffic", relay, "bytes/s"),
        ("worked out: all relays, reads", len(relays) * reads, "calls/s"),
    )
    return [
        Figure(name=name, upstreams=0, value=round(value, 1), unit=unit)
        for name, value, unit in rates
    ]


def _measure_steps() -> list[Figure]:
    """Measures the most frequent steps of a relay's state machine."""
    settings = ReplicaSettings(name="a-0", failure_domain="a", address="a-0")
    peers = tuple(
        PeerNode(name=f"{d}-{n}", failure_domain=d, address=f"{d}-{n}")
        for d in _DOMAINS
        for n in range(_NODES_PER_DOMAIN)
    )
    state = create_replica(settings)
    state, _ = step(state, PeersChanged(peers[1:]), 0)
    probe = MessageReceived(
        address="b-1",
        message=RevisionProbe(nonce=state.outstanding[0].nonce, revision=0),
    )
    _, actions = step(state, probe, 1)
    (reply,) = (a.message for a in actions if isinstance(a, SendMessage))
    events: dict[str, ReplicaEvent] = {
        "tick": Tick(),
        "probe": probe,
        "answer": MessageReceived(
            address=state.outstanding[0].address, message=reply
        ),
    }
    return [
        Figure(
            name=f"step: {name}",
            upstreams=0,
            value=round(_thousand_steps_ms(state, event), 1),
            unit="us",
        )
        for name, event in events.items()
    ]


def _thousand_steps_ms(state: ReplicaState, event: ReplicaEvent) -> float:
    """Returns the time of 1,000 steps in ms, which is that of one in us."""

    def steps() -> None:
        for _ in range(1_000):
            step(state, event, 2)

    return _cpu_ms(steps)


def main(arguments: Sequence[str]) -> None:
    """Runs the measurement, prints the table and writes the JSON file."""
    del arguments
    example = decode_bundle(_EXAMPLE.read_text()).unwrap()
    figures: list[Figure] = []
    for bundle in (example, _large_bundle(example, _WORKERS)):
        figures += _measure_bundle(bundle)
    deltas = [f.value for f in figures if f.name.startswith("delta")]
    figures += _measure_control(max(deltas))
    figures += _measure_steps()
    for figure in figures:
        print(
            f"{figure.name:48} {figure.upstreams:>6} "
            f"{figure.value:>12} {figure.unit}"
        )
    if _WRITE.value:
        document = {
            "commit": commit(),
            "python": platform.python_version(),
            "figures": [dataclasses.asdict(figure) for figure in figures],
        }
        _RESULTS.parent.mkdir(parents=True, exist_ok=True)
        _RESULTS.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    app.run(main)
