from __future__ import annotations

import threading
from collections.abc import Callable

from trefoilpitch.clock import ManualClock
from trefoilpitch.configuration import (
    HEAD_KEY,
    Configuration,
    configuration_writer,
)
from trefoilpitch.configuration.replication import (
    HeadRead,
    PeersChanged,
    ReplicaSettings,
    Standing,
)
from trefoilpitch.configuration.tests.examples import sign_off, vm_out
from trefoilpitch.daemon._replica import ReplicaHost
from trefoilpitch.peering import PeerTransport
from trefoilpitch.store import memory_store

_LONG_PAUSE_MS = 11_000


class _Surroundings:
    """Runs tasks at once, drops messages and watches nothing."""

    def send(self, *args: object, **options: object) -> None:
        pass

    def sleep(self, wait_ms: int) -> None:
        pass

    def wait(self, condition: threading.Condition, wait_ms: int) -> None:
        pass

    def submit(self, task: Callable[[], None]) -> None:
        task()

    def start(self, on_event: object) -> None:
        pass

    def stop(self) -> None:
        pass

    def close(self) -> None:
        pass


def test_no_request_is_admitted_before_the_new_configuration_is_applied() -> (
    None
):
    clock = ManualClock(1_000)
    store = memory_store(clock)
    writer = configuration_writer(store)
    standings: list[Standing] = []

    def apply(configuration: Configuration) -> bool:
        standings.append(host.standing())
        return True

    surroundings = _Surroundings()
    transport: PeerTransport = surroundings  # type: ignore[assignment]
    host = ReplicaHost(
        ReplicaSettings(
            name="a-0",
            failure_domain="a",
            address="a-0",
            failure_domains=("a", "b", "c"),
        ),
        clock=clock,
        store=store,
        transport=transport,
        apply_configuration=apply,
        store_executor=surroundings,
        head_watcher=surroundings,
        waiter=surroundings,
    )

    def read_head() -> None:
        entry = store.get(HEAD_KEY).unwrap()
        assert entry is not None
        host.handle(HeadRead(value=entry.value, sent_ms=clock.now_ms()))

    writer.commit(sign_off(), known_revision=0).unwrap()
    host.handle(PeersChanged(()))
    read_head()
    assert host.standing() is Standing.CURRENT
    standings.clear()

    clock.advance(_LONG_PAUSE_MS)
    writer.commit(vm_out("x"), known_revision=1).unwrap()
    read_head()
    assert standings == [Standing.CUT_OFF]
    assert host.standing() is Standing.CURRENT
