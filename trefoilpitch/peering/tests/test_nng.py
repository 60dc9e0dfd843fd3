import socket
import threading
from collections.abc import Callable, Iterator

import pynng
import pytest
from returns.result import Success

from trefoilpitch.clock import SystemClock
from trefoilpitch.peering import (
    DialFailedError,
    DropReason,
    ListenFailedError,
    MessageTooLargeError,
    NngSettings,
    NngTransport,
    PeerKeys,
    ReceivedMessage,
    SendQueueFullError,
    TransportClosedError,
    create_payload_registry,
    open_nng_transport,
)
from trefoilpitch.peering.tests.conftest import (
    KEYS,
    NOTE,
    Note,
    create_identity,
)

WAIT_S = 10.0
SETTINGS = NngSettings(
    flush_interval_ms=20,
    frame_limit_bytes=4_096,
    queue_limit_bytes=8_192,
    queue_age_limit_ms=200,
    max_dialers=3,
    reconnect_min_ms=20,
    reconnect_max_ms=20,
)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Inbox:
    """Collects the texts of messages received on the transport's thread."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.changed = threading.Condition()

    def put(self, message: ReceivedMessage) -> None:
        assert isinstance(message.payload, Note)
        if message.payload.text == "fail":
            raise RuntimeError("handler failure injected by the test")
        with self.changed:
            self.texts.append(message.payload.text)
            self.changed.notify_all()

    def wait_for(self, count: int) -> list[str]:
        with self.changed:
            assert self.changed.wait_for(
                lambda: len(self.texts) >= count, WAIT_S
            )
            return list(self.texts)


class Node:
    """A transport with an inbox."""

    def __init__(self, name: str, keys: PeerKeys = KEYS) -> None:
        self.inbox = Inbox()
        self.name = name
        self.keys = keys
        self.port = free_port()
        self.transport = self.open()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def open(self) -> NngTransport:
        return open_nng_transport(
            clock=SystemClock(),
            identity=create_identity(self.name, self.port),
            keys=self.keys,
            registry=create_payload_registry([NOTE]),
            handler=self.inbox.put,
            settings=SETTINGS,
        )

    def dropped(self, reason: DropReason) -> int:
        return self.transport.counters().dropped.get(reason, 0)


def wait_until(condition: Callable[[], bool]) -> None:
    never_set = threading.Event()
    for _ in range(int(WAIT_S / 0.01)):
        if condition():
            return
        never_set.wait(0.01)
    raise AssertionError("condition did not come true")


@pytest.fixture
def nodes() -> Iterator[list[Node]]:
    opened = [Node("a"), Node("b")]
    yield opened
    for node in opened:
        node.transport.close()


def test_messages_of_one_interval_share_a_frame(nodes: list[Node]) -> None:
    a, b = nodes
    for number in range(10):
        a.transport.send(b.address, Note(text=str(number)))
    assert b.inbox.wait_for(10) == [str(number) for number in range(10)]
    counters = b.transport.counters()
    assert counters.messages_received == 10
    assert counters.frames_received < 10


def test_messages_reach_a_restarted_peer(nodes: list[Node]) -> None:
    a, b = nodes
    a.transport.send(b.address, Note(text="before"))
    b.inbox.wait_for(1)
    b.transport.close()
    b.transport = b.open()

    def arrives() -> bool:
        a.transport.send(b.address, Note(text="after"))
        return "after" in b.inbox.texts

    wait_until(arrives)


def test_messages_to_an_unreachable_peer_expire(nodes: list[Node]) -> None:
    a, _ = nodes
    unreachable = f"127.0.0.1:{free_port()}"
    for _ in range(5):
        assert isinstance(
            a.transport.send(unreachable, Note(text="x")), Success
        )
    wait_until(lambda: a.dropped(DropReason.EXPIRED) == 5)


def test_send_queue_to_a_peer_is_bounded(nodes: list[Node]) -> None:
    a, _ = nodes
    unreachable = f"127.0.0.1:{free_port()}"
    results = [
        a.transport.send(unreachable, Note(text="x" * 1_000)) for _ in range(20)
    ]
    failures = [r for r in results if not isinstance(r, Success)]
    assert len(failures) >= 10
    assert all(isinstance(f.failure(), SendQueueFullError) for f in failures)
    assert a.dropped(DropReason.QUEUE_FULL) == len(failures)


def test_number_of_open_dialers_is_bounded(nodes: list[Node]) -> None:
    a, b = nodes
    for _ in range(8):
        unreachable = f"127.0.0.1:{free_port()}"
        a.transport.send(unreachable, Note(text="x"))
    a.transport.send(b.address, Note(text="y"))
    assert a.transport.counters().dialers == SETTINGS.max_dialers
    assert b.inbox.wait_for(1) == ["y"]
    assert a.dropped(DropReason.PEER_CLOSED) > 0


def test_disconnect_closes_the_dialer(nodes: list[Node]) -> None:
    a, b = nodes
    a.transport.send(b.address, Note(text="x"))
    b.inbox.wait_for(1)
    a.transport.disconnect(b.address)
    assert a.transport.counters().dialers == 0


def test_unauthenticated_frames_are_counted_and_have_no_effect(
    nodes: list[Node],
) -> None:
    a, b = nodes
    wrong_key_node = Node("c", PeerKeys(current=b"another key"))
    with wrong_key_node.transport, pynng.Push0() as raw:
        wrong_key_node.transport.send(b.address, Note(text="stranger"))
        raw.dial(f"tcp://{b.address}", block=True)
        raw.send(b"not a frame")
        raw.send(b"x" * 5_000)
        wait_until(lambda: b.dropped(DropReason.WRONG_KEY) == 1)
        wait_until(lambda: b.dropped(DropReason.MALFORMED) == 1)
        wait_until(lambda: b.dropped(DropReason.OVERSIZED) == 1)
    a.transport.send(b.address, Note(text="friend"))
    assert b.inbox.wait_for(1) == ["friend"]


def test_failing_handler_does_not_stop_the_transport(
    nodes: list[Node],
) -> None:
    a, b = nodes
    a.transport.send(b.address, Note(text="fail"))
    a.transport.send(b.address, Note(text="next"))
    assert b.inbox.wait_for(1) == ["next"]
    assert b.dropped(DropReason.HANDLER_FAILED) == 1


def test_send_returns_the_error_type_of_each_failure(nodes: list[Node]) -> None:
    a, b = nodes
    large = a.transport.send(b.address, Note(text="x" * 5_000))
    assert isinstance(large.failure(), MessageTooLargeError)
    undialable = a.transport.send("no address", Note(text="x"))
    assert isinstance(undialable.failure(), DialFailedError)
    a.transport.close()
    closed = a.transport.send(b.address, Note(text="x"))
    assert isinstance(closed.failure(), TransportClosedError)


def test_address_in_use_is_reported(nodes: list[Node]) -> None:
    _, b = nodes
    with pytest.raises(ListenFailedError, match=b.address):
        b.open()
