from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success

from trefoilpitch.configuration import EMPTY_CONFIGURATION, Configuration
from trefoilpitch.configuration._codec import (
    configuration_digest,
    encode_delta,
    encode_head,
    encode_snapshot,
)
from trefoilpitch.configuration._head import HeadRecord, SnapshotRef
from trefoilpitch.configuration._head_reader import EMPTY_HEAD
from trefoilpitch.configuration._plan import plan_commit
from trefoilpitch.configuration.replication import (
    HeadRead,
    HeadReadFailed,
    HeadWatched,
    MessageReceived,
    PeerNode,
    PeersChanged,
    ReadSnapshot,
    ReplicaEvent,
    ReplicaSettings,
    RevisionProbe,
    RevisionReply,
    SnapshotPage,
    SnapshotRead,
    SnapshotRequest,
    Tick,
    WatchEnded,
    create_replica,
    is_confirmed,
    may_accept_changes,
    standing,
    step,
)
from trefoilpitch.configuration.replication.tests.fleet import ready_fleet
from trefoilpitch.configuration.tests.examples import many_changes, vm_out

_HISTORY_LENGTH = 40


def _make_history() -> tuple[list[Configuration], list[HeadRecord]]:
    configurations, heads = [EMPTY_CONFIGURATION], [EMPTY_HEAD]
    for change in itertools.islice(many_changes(), _HISTORY_LENGTH):
        plan = plan_commit(heads[-1], configurations[-1], change).unwrap()
        configurations.append(plan.after)
        heads.append(plan.head)
    return configurations, heads


_CONFIGURATIONS, _HEADS = _make_history()
_DIGESTS = [configuration_digest(each) for each in _CONFIGURATIONS]
_DELTAS = [None, *(head.deltas[-1] for head in _HEADS[1:])]
_PEER = PeerNode(name="p", failure_domain="b", address="p")
_REVISIONS = st.integers(0, _HISTORY_LENGTH)
_OPTIONAL_DIGESTS = st.one_of(
    st.none(), st.integers(0, _HISTORY_LENGTH).map(_DIGESTS.__getitem__)
)


@st.composite
def _replies(draw: st.DrawFn) -> ReplicaEvent:
    revision = draw(_REVISIONS)
    first = draw(st.integers(1, _HISTORY_LENGTH))
    deltas = [
        encode_delta(delta)
        for delta in _DELTAS[first : revision + 1]
        if delta is not None
    ]
    deltas = draw(st.permutations(deltas + deltas[:2]))
    kept = draw(st.lists(st.booleans(), min_size=len(deltas)))
    message = RevisionReply(
        nonce=draw(st.integers(0, 3)),
        revision=revision,
        digest=draw(_OPTIONAL_DIGESTS) or _DIGESTS[revision],
        head_revision=draw(_REVISIONS),
        proof_age_ms=draw(st.none() | st.integers(0, 9_000)),
        contacts=(),
        deltas=tuple(
            itertools.compress(deltas, kept) if draw(st.booleans()) else deltas
        )
        + draw(st.sampled_from([(), (b"x",)])),
    )
    return MessageReceived(address="p", message=message)


@st.composite
def _pages(draw: st.DrawFn) -> ReplicaEvent:
    revision = draw(_REVISIONS)
    data = encode_snapshot(_CONFIGURATIONS[revision])
    cut = draw(st.integers(0, len(data)))
    offset = draw(st.sampled_from([0, cut]))
    message = SnapshotPage(
        revision=draw(st.sampled_from([revision, _HISTORY_LENGTH])),
        digest=draw(_OPTIONAL_DIGESTS) or _DIGESTS[revision],
        offset=offset,
        total_bytes=len(data),
        data=draw(st.sampled_from([data[offset:], data[:cut], b""])),
    )
    return MessageReceived(address="p", message=message)


def _snapshot_read(revision: int, content_revision: int) -> ReplicaEvent:
    ref = SnapshotRef(revision=revision, digest=_DIGESTS[revision])
    return SnapshotRead(
        ref=ref, value=encode_snapshot(_CONFIGURATIONS[content_revision])
    )


_EVENTS = st.one_of(
    _replies(),
    _pages(),
    _REVISIONS.map(
        lambda revision: HeadRead(
            value=encode_head(_HEADS[revision]), sent_ms=0
        )
    ),
    _REVISIONS.map(lambda revision: HeadWatched(encode_head(_HEADS[revision]))),
    st.builds(_snapshot_read, _REVISIONS, _REVISIONS),
    st.builds(
        lambda revision: MessageReceived(
            address="p",
            message=RevisionProbe(nonce=0, revision=revision),
        ),
        _REVISIONS,
    ),
    st.sampled_from(
        [
            Tick(),
            HeadReadFailed(),
            WatchEnded(),
            HeadWatched(b"x"),
            HeadRead(value=None, sent_ms=0),
            MessageReceived(
                address="p", message=SnapshotRequest(digest="", offset=9**9)
            ),
            PeersChanged((_PEER,)),
            PeersChanged(()),
        ]
    ),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(st.tuples(_EVENTS, st.integers(0, 2_000)), max_size=40))
def test_replica_is_correct_never_goes_back_and_converges(
    events: list[tuple[ReplicaEvent, int]],
) -> None:
    state = create_replica(
        ReplicaSettings(name="n", failure_domain="a", address="n")
    )
    now_ms = 0
    for event, wait_ms in events:
        now_ms += wait_ms
        before = state.revision
        state, _ = step(state, event, now_ms)
        assert state.revision >= before
        assert state.digest == _DIGESTS[state.revision]
        assert state.configuration == _CONFIGURATIONS[state.revision]
    head = HeadRead(value=encode_head(_HEADS[-1]), sent_ms=now_ms)
    finish: list[ReplicaEvent] = [PeersChanged(()), head, *[Tick()] * 8]
    for event in finish:
        now_ms += 1_000
        state, actions = step(state, event, now_ms)
        for action in actions:
            if isinstance(action, ReadSnapshot):
                read = _snapshot_read(action.ref.revision, action.ref.revision)
                state, _ = step(state, read, now_ms)
    assert state.configuration == _CONFIGURATIONS[-1]


# A node that admits new work must have every change that was confirmed more
# than this time ago.
_MAX_DELAY_MS = 9_000
_NODES = [f"{domain}-{number}" for domain in "abc" for number in range(2)]
_DOMAIN_SETS = st.sets(st.sampled_from("abc"))


class FleetMachine(RuleBasedStateMachine):
    """Checks replicas against confirmed changes under faults.

    The faults are partitions, store outages, isolated nodes and restarts.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = ready_fleet(nodes_per_domain=2)
        self.fleet.tick_ms = 250
        self.unconfirmed: list[tuple[str, int]] = []
        self.confirmed: list[tuple[int, int]] = []
        self.digests: dict[int, str] = {}
        self.names = (f"vm-{number}" for number in itertools.count())

    @rule(name=st.sampled_from(_NODES))
    def commit(self, name: str) -> None:
        if not may_accept_changes(self.fleet.states[name], self.fleet.now_ms):
            return
        outcome = self.fleet.commit(name, vm_out(next(self.names)))
        if isinstance(outcome, Success):
            self.unconfirmed.append((name, outcome.unwrap().revision))

    @rule(alone=_DOMAIN_SETS)
    def partition(self, alone: set[str]) -> None:
        self.fleet.groups = [alone, set("abc") - alone]

    @rule(domains=_DOMAIN_SETS)
    def hide_store(self, domains: set[str]) -> None:
        self.fleet.store_unreachable_from = domains

    @rule(down=st.booleans())
    def set_store_down(self, down: bool) -> None:
        self.fleet.store.set_down(down)

    @rule(names=st.sets(st.sampled_from(_NODES), max_size=2))
    def isolate(self, names: set[str]) -> None:
        self.fleet.isolated = names

    @precondition(lambda self: self.fleet.states)
    @rule(name=st.sampled_from(_NODES))
    def restart(self, name: str) -> None:
        self.unconfirmed = [u for u in self.unconfirmed if u[0] != name]
        self.fleet.start(name)

    @rule(steps=st.integers(1, 12))
    def wait(self, steps: int) -> None:
        for _ in range(steps):
            self.fleet.run(500)
            self.check()

    @invariant()
    def check(self) -> None:
        now_ms = self.fleet.now_ms
        for name, revision in tuple(self.unconfirmed):
            if is_confirmed(self.fleet.states[name], revision):
                self.unconfirmed.remove((name, revision))
                self.confirmed.append((now_ms, revision))
        due = [
            revision
            for confirmed_ms, revision in self.confirmed
            if now_ms - confirmed_ms > _MAX_DELAY_MS
        ]
        for state in self.fleet.states.values():
            digest = self.digests.setdefault(state.revision, state.digest)
            assert state.digest == digest
            if standing(state, now_ms).admits_new_work:
                assert state.revision >= max(due, default=0)

    def teardown(self) -> None:
        self.fleet.groups = [set("abc")]
        self.fleet.isolated, self.fleet.store_unreachable_from = set(), set()
        self.fleet.store.set_down(False)
        self.fleet.run(20_000)
        self.check()
        assert len(self.fleet.revisions()) == 1
        assert all(s.admits_new_work for s in self.fleet.standings().values())


def test_no_node_admits_work_by_a_replaced_configuration() -> None:
    run_state_machine_as_test(
        FleetMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=30,
            stateful_step_count=25,
        ),
    )
