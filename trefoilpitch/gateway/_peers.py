"""What daemons tell each other: short datagrams, a few a second.

A datagram carries totals, never changes, so that a lost one is made good by
the next. It shows who is alive, who is leaving, which revision of the shared
state each daemon has, and what each has seen of a roll-out's versions.
"""

from __future__ import annotations

import asyncio
import dataclasses
import zlib
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from typing import cast

import msgspec

from trefoilpitch.fleet import Item, ItemBatch, Member
from trefoilpitch.gateway._exceptions import PeerReplyError
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._rollouts import VersionEvidence
from trefoilpitch.rendezvous import rank

# Heartbeats go from all to all; a larger fleet sends them more rarely, so that
# each daemon's work stays the same, and is given more time before it is taken
# for dead.
_INTERVAL_MS_PER_MEMBER = 20
_MIN_INTERVAL_MS = 400
_MAX_INTERVAL_MS = 1_600
_MISSED_HEARTBEATS = 3
_MIN_SILENCE_MS = 2_500
# Daemons that watch the store; the others learn from them. A fleet of this size
# or less watches as a whole; in a larger one some are left when half of it ends
# at once.
_WATCHERS = 9
# Configurations shrink to a tenth at the fastest level.
_COMPRESSION_LEVEL = 1
_MAX_BATCH_BYTES = 64 * 1024 * 1024
# Larger datagrams may be cut up on the way.
_MAX_DATAGRAM_BYTES = 1_200


class VersionCount(msgspec.Struct, frozen=True, array_like=True):
    """Evidence on one version of a service under a roll-out."""

    service: str
    version: str
    # Store revision of the roll-out's order.
    order_revision: int
    good: int
    bad: int
    # Requests in progress on other versions than the target.
    off_target: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's state as its peers need it."""

    node: str
    incarnation: str
    # Counts the daemon's heartbeats; an older one that is late is dropped.
    sequence: int
    # Revision of its copy of the shared state.
    revision: int
    # Whether that was the store's newest a moment ago.
    current: bool
    # Whether the store answers it.
    store_answers: bool
    # Whether callers may connect to it.
    ready: bool
    versions: tuple[VersionCount, ...]
    # Upstreams with requests of this daemon in progress, and how many.
    in_flight: tuple[tuple[str, int], ...] = ()


class WireItem(msgspec.Struct, frozen=True, array_like=True):
    """An item of the shared state, as it goes to a peer."""

    key: str
    value: bytes | None
    revision: int


class WireBatch(msgspec.Struct, frozen=True, array_like=True):
    """Items that a peer asked for."""

    items: tuple[WireItem, ...]
    revision: int


def encode_batch(batch: ItemBatch) -> bytes:
    """Encodes items for a peer, compressed: links may be narrow."""
    items = tuple(
        WireItem(key=item.key, value=item.value, revision=item.revision)
        for item in batch.items
    )
    encoded = msgspec.msgpack.encode(
        WireBatch(items=items, revision=batch.revision)
    )
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def decode_batch(data: bytes) -> ItemBatch:
    """Decodes a peer's items.

    Raises:
        PeerAnswerError: If the bytes are something else, or too many.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, _MAX_BATCH_BYTES)
        if not decompressor.eof:
            raise PeerReplyError("the batch is cut off or too large")
        batch = msgspec.msgpack.decode(encoded, type=WireBatch)
    except (zlib.error, msgspec.DecodeError) as error:
        raise PeerReplyError(str(error)) from error
    items = tuple(
        Item(key=item.key, value=item.value, revision=item.revision)
        for item in batch.items
    )
    return ItemBatch(items=items, revision=batch.revision)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """What is known of another daemon."""

    # Its last heartbeat.
    heartbeat: Heartbeat
    # Monotonic time when it came.
    heard_ms: int


def heartbeat_interval_ms(members: int) -> int:
    """Returns the pause between two heartbeats of a daemon."""
    interval_ms = _INTERVAL_MS_PER_MEMBER * members
    return min(_MAX_INTERVAL_MS, max(_MIN_INTERVAL_MS, interval_ms))


def silence_ms(members: int) -> int:
    """Returns after which silence a daemon is taken for dead."""
    missed_ms = _MISSED_HEARTBEATS * heartbeat_interval_ms(members)
    return max(_MIN_SILENCE_MS, missed_ms)


def watches_store(own_name: str, reachable: Collection[str]) -> bool:
    """Decides whether a daemon watches the store itself.

    Load pattern: each change wakes every watch, and each watch is a call of
    the store whose rate grows more slowly than the fleet.

    Args:
        own_name: The daemon.
        reachable: The others that are alive and that the store answers.
    """
    names = {own_name, *reachable}
    return own_name in rank("watchers", names)[:_WATCHERS]


class PeerTable:
    """The daemons that were heard of late.

    Args:
        own_name: This VM.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._peers: dict[str, Peer] = {}
        self._in_flight: Counter[str] = Counter()

    def record(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Takes a heartbeat; an older one of the same start is dropped."""
        if heartbeat.node == self._own_name:
            return
        known = self._peers.get(heartbeat.node)
        if known is not None:
            same = known.heartbeat.incarnation == heartbeat.incarnation
            if same and known.heartbeat.sequence >= heartbeat.sequence:
                return
            if not same:
                self._log(heartbeat.node, "restarted", heartbeat.incarnation)
        else:
            self._log(heartbeat.node, "heard", heartbeat.incarnation)
        self._peers[heartbeat.node] = Peer(heartbeat=heartbeat, heard_ms=now_ms)
        if known is not None:
            self._in_flight.subtract(dict(known.heartbeat.in_flight))
        self._in_flight.update(dict(heartbeat.in_flight))

    def expire(self, now_ms: int) -> None:
        """Drops the daemons that have fallen silent."""
        limit_ms = silence_ms(len(self._peers) + 1)
        for name, peer in list(self._peers.items()):
            if now_ms - peer.heard_ms > limit_ms:
                del self._peers[name]
                self._in_flight.subtract(dict(peer.heartbeat.in_flight))
                self._log(name, "silent", peer.heartbeat.incarnation)

    def alive(self) -> Mapping[str, Peer]:
        """Returns the daemons that were heard of late, by VM."""
        return self._peers

    def in_flight(self) -> Mapping[str, int]:
        """Sums the peers' requests in progress by upstream."""
        return self._in_flight

    def evidence(
        self, service: str, order_revision: int
    ) -> tuple[dict[str, VersionEvidence], int]:
        """Sums the peers' evidence on a roll-out.

        Returns:
            Evidence by version, and their requests off the target.
        """
        total: dict[str, VersionEvidence] = {}
        off_target = 0
        for peer in self._peers.values():
            counted = False
            for count in peer.heartbeat.versions:
                if count.service != service:
                    continue
                if not counted:
                    off_target += count.off_target
                    counted = True
                if count.order_revision != order_revision:
                    continue
                seen = VersionEvidence(good=count.good, bad=count.bad)
                known = total.get(count.version, VersionEvidence())
                total[count.version] = known.plus(seen)
        return total, off_target

    def _log(self, name: str, outcome: str, incarnation: str) -> None:
        log_event("peer", peer=name, outcome=outcome, incarnation=incarnation)


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives heartbeats.

    Args:
        on_heartbeat: Called for each heartbeat.
    """

    def __init__(self, on_heartbeat: Callable[[Heartbeat], None]) -> None:
        self._on_heartbeat = on_heartbeat
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        # The loop's own class does not inherit from the public one.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a heartbeat."""
        try:
            heartbeat = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            log_event("bad_heartbeat", sender=addr[0], reason=str(error))
            return
        self._on_heartbeat(heartbeat)

    def send(self, heartbeat: Heartbeat, members: list[Member]) -> None:
        """Sends a heartbeat to other daemons."""
        if self._transport is None:
            return
        data = msgspec.msgpack.encode(heartbeat)
        if len(data) > _MAX_DATAGRAM_BYTES:
            slim = msgspec.structs.replace(heartbeat, in_flight=())
            data = msgspec.msgpack.encode(slim)
        for member in members:
            address = (member.peer_host, member.heartbeat_port)
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
