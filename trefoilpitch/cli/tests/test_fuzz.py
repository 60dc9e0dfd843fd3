"""Commands whose requests are lost, delayed or repeated.

Guards against commands that report an outcome other than the one recorded in
the head, and against changes that are applied twice.
"""

from __future__ import annotations

import enum
import io
import itertools

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    multiple,
    rule,
)
from returns.result import Failure, Result

from trefoilpitch.administration.tests.fleet import Fleet
from trefoilpitch.cli import ExitStatus, main
from trefoilpitch.cli._client import FailoverClient, RequestError
from trefoilpitch.cli.tests.operator import (
    ARCHIVE,
    ENVIRONMENT,
    fleet_transport,
)
from trefoilpitch.clock import ManualClock
from trefoilpitch.configuration import HeadReader, SetFailureDomain, SetVm
from trefoilpitch.store import (
    MemoryStore,
    OutcomeUnknownError,
    StoreError,
    memory_store,
)

_TOKEN = ENVIRONMENT["TREFOILPITCH_ADMIN_TOKEN"]
_TARGETS = ("domain suva", "domain nadi", "vm entry-1", "vm small-suva")
_CHANGED_NOTHING = {
    ExitStatus.REFUSED,
    ExitStatus.UNREACHABLE,
    ExitStatus.CONFLICT,
}


class Delivery(enum.Enum):
    """How the transport delivers the request of a change."""

    WHOLE = "whole"
    NO_CONNECTION = "no connection"
    LOST_REQUEST = "lost request"
    LOST_REPLY = "lost reply"
    LATE = "late"


class StoreFault(enum.Enum):
    """How the store fails when a daemon uses it."""

    NONE = "none"
    DOWN = "down"
    LOSES_ONE = "loses one reply"
    DIES_WRITING = "goes down after a write took effect"


# Weighted towards few faults; otherwise no change is ever accepted.
_DELIVERIES = (Delivery.WHOLE, Delivery.WHOLE, Delivery.WHOLE, *Delivery)
_STORE_FAULTS = (StoreFault.NONE, StoreFault.NONE, *StoreFault)
_FAULTS = st.tuples(
    st.lists(st.sampled_from(_DELIVERIES), min_size=2, max_size=2),
    st.lists(st.sampled_from(_STORE_FAULTS), min_size=2, max_size=2),
)


class Operators(RuleBasedStateMachine):
    """Runs commands against two daemons and compares with the head."""

    commands = Bundle("commands")

    @initialize()
    def start(self) -> None:
        store = memory_store(ManualClock())
        self._reader = HeadReader(store)
        self._nodes = {"a": Fleet(store.new_client())}
        self._nodes["b"] = Fleet(store.new_client())
        self._numbers = itertools.count()
        self._deliveries: list[Delivery] = []
        self._late_changes: list[tuple[str, str, bytes]] = []
        # Change ids of commands that reported that nothing was changed.
        self._reported_unchanged: set[str] = set()
        # The revisions that commands reported, by change id.
        self._reported_revisions: dict[str, int] = {}
        status, _ = self._run("bundle", "sign-off", ARCHIVE)
        assert status is ExitStatus.DONE
        self._nodes["b"].catch_up()

    @rule(
        target=commands,
        target_name=st.sampled_from(_TARGETS),
        direction=st.sampled_from(("out", "in")),
        is_careful=st.booleans(),
        faults=_FAULTS,
    )
    def give(
        self,
        target_name: str,
        direction: str,
        is_careful: bool,
        faults: tuple[list[Delivery], list[StoreFault]],
    ) -> object:
        kind, name = target_name.split()
        change_id = f"c-{next(self._numbers)}"
        words = [kind, direction, name, f"--change_id={change_id}"]
        if is_careful:
            revision = self._nodes["a"].configuration.revision
            words.append(f"--expected_revision={revision}")
        status = self._run_with_faults(change_id, words, faults)
        if status in _CHANGED_NOTHING:
            self._reported_unchanged.add(change_id)
        if status is ExitStatus.OUTCOME_UNKNOWN:
            return (change_id, words)
        return multiple()

    @rule(target=commands, command=consumes(commands), faults=_FAULTS)
    def repeat(
        self,
        command: tuple[str, list[str]],
        faults: tuple[list[Delivery], list[StoreFault]],
    ) -> object:
        head = self._reader.read().unwrap().head
        is_accepted = head.find_change(command[0]) is not None
        status = self._run_with_faults(*command, faults)
        if is_accepted:
            assert status not in (ExitStatus.REFUSED, ExitStatus.CONFLICT)
        return multiple() if status is ExitStatus.DONE else command

    @rule()
    def deliver_late_changes(self) -> None:
        for node, url, body in self._late_changes:
            fleet_transport(self._nodes[node], _TOKEN)("POST", url, body)
        self._late_changes.clear()

    @rule(node=st.sampled_from("ab"))
    def catch_up(self, node: str) -> None:
        self._nodes[node].catch_up()

    @invariant()
    def reported_outcomes_match_the_head(self) -> None:
        head = self._reader.read().unwrap().head
        accepted = {delta.change_id: delta.revision for delta in head.deltas}
        assert len(accepted) == len(head.deltas), "a change was applied twice"
        assert not self._reported_unchanged & accepted.keys()
        assert self._reported_revisions.items() <= accepted.items()

    @invariant()
    def each_accepted_change_took_effect_once(self) -> None:
        head = self._reader.read().unwrap().head
        out: set[str] = set()
        for delta in head.deltas:
            change = delta.change
            if isinstance(change, SetFailureDomain):
                name = change.failure_domain
            elif isinstance(change, SetVm):
                name = change.vm
            else:
                continue
            assert change.in_service == (name in out)
            out ^= {name}
        configuration = self._reader.materialize(head).unwrap()
        in_force = configuration.failure_domains_out | configuration.vms_out
        assert in_force == out

    def _run_with_faults(
        self,
        change_id: str,
        words: list[str],
        faults: tuple[list[Delivery], list[StoreFault]],
    ) -> ExitStatus:
        self._deliveries = list(faults[0])
        for node, fault in zip(self._nodes.values(), faults[1], strict=True):
            node.store.set_down(fault is StoreFault.DOWN)
            node.store.lose_replies(int(fault is StoreFault.LOSES_ONE))
            if fault is StoreFault.DIES_WRITING:
                _go_down_after_write(node.store)
        status, out = self._run(*words)
        self._deliveries = []
        for node in self._nodes.values():
            node.store.set_down(False)
            node.store.lose_replies(0)
            vars(node.store).pop("put_if", None)
        assert status in (
            *_CHANGED_NOTHING,
            ExitStatus.DONE,
            ExitStatus.OUTCOME_UNKNOWN,
        )
        if status is ExitStatus.DONE:
            revision = int(out.partition("revision ")[2].split()[0])
            self._reported_revisions[change_id] = revision
        return status

    def _run(self, *words: str) -> tuple[ExitStatus, str]:
        out = io.StringIO()
        status = main(
            ["trefoilpitch", *words, "--admin_address=a:1,b:1"],
            ENVIRONMENT,
            out,
            io.StringIO(),
            create_client=lambda urls, *rest: FailoverClient(
                urls, self._transport
            ),
        )
        return status, out.getvalue()

    def _transport(
        self, method: str, url: str, body: bytes | None
    ) -> Result[bytes, RequestError]:
        node = url.removeprefix("http://")[0]
        delivery = Delivery.WHOLE
        if body is not None and self._deliveries:
            delivery = self._deliveries.pop(0)
        if body is not None and delivery is Delivery.LATE:
            self._late_changes.append((node, url, body))
        if delivery in (Delivery.WHOLE, Delivery.LOST_REPLY):
            send = fleet_transport(self._nodes[node], _TOKEN)
            response = send(method, url, body)
            if delivery is Delivery.WHOLE:
                return response
        is_sent = delivery is not Delivery.NO_CONNECTION
        return Failure(RequestError(attempts=(url,), may_have_run=is_sent))


def _go_down_after_write(store: MemoryStore) -> None:
    put_if = store.put_if

    def put_and_go_down(
        key: str, value: bytes, revision: int
    ) -> Result[int, StoreError]:
        put_if(key, value, revision)
        store.set_down(True)
        return Failure(OutcomeUnknownError(detail="lost"))

    vars(store)["put_if"] = put_and_go_down


TestOperators = Operators.TestCase
TestOperators.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
)
