import pytest

from trefoilpitch.clock import SystemClock
from trefoilpitch.daemon._node import Node
from trefoilpitch.daemon._settings import read_settings
from trefoilpitch.ledger import CopyAck
from trefoilpitch.peering import PeerTransport, ReceivedMessage


def test_message_received_before_the_actors_start_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    settings = read_settings(
        [
            "trefoilpitchd",
            "--vm_name=entry-1",
            "--failure_domain=suva",
            "--shared_key=0123456789abcdef",
            f"--admin_token_sha256={'0' * 64}",
            "--peer_address=127.0.0.1:20199",
        ],
        {},
    )
    open_transport = Node._open_transport
    early = ReceivedMessage(
        sender="entry-2",
        incarnation="entry-2_1",
        address="127.0.0.1:1",
        payload=CopyAck(1),
    )

    def receive_immediately(node: Node) -> PeerTransport:
        transport = open_transport(node)
        node._on_peer_message(early)
        return transport

    monkeypatch.setattr(Node, "_open_transport", receive_immediately)
    node = Node(settings, SystemClock(), lambda: None)
    node._transport.close()
