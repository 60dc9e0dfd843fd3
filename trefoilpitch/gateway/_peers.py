"""Heartbeats between daemons, and the exchange of fleet state over HTTP.

Heartbeats are small UDP datagrams, sent every 0.4 to 1.6 seconds. They carry
totals, never deltas, so that the next one makes up for a lost one. They show
which daemons are alive or leaving, which revision of the fleet state each of
them has, and its evidence on the versions of a roll-out and on traits of
requests under which upstreams end. Evidence on traits that does not fit into
the datagram of a heartbeat follows in one of its own.
"""

from __future__ import annotations

import asyncio
import dataclasses
import zlib
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Annotated, TypeAlias, cast

import msgspec

from trefoilpitch.fleet import Item, ItemBatch, Member, StoreVersion
from trefoilpitch.gateway._crash_evidence import EvidenceReport
from trefoilpitch.gateway._exceptions import PeerReplyError
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._paces import PaceCounts
from trefoilpitch.gateway._peer_work import PeerWork, PeerWorkTable
from trefoilpitch.gateway._rollouts import VersionEvidence
from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.rendezvous import rank

# Every daemon sends heartbeats to every other one. The interval grows with the
# fleet, to keep each daemon's work constant, and so does the time after which
# a silent peer is considered dead.
_INTERVAL_MS_PER_MEMBER = 20
_MIN_INTERVAL_MS = 400
_MAX_INTERVAL_MS = 1_600
_MISSED_HEARTBEATS = 3
_URGENT_PER_INTERVAL = 4
_MIN_PEER_TIMEOUT_MS = 2_500
# Number of daemons that watch the store; the others get changes from them. In a
# fleet of up to this size all daemons watch; in a larger one there are enough
# for some to remain when half of the fleet fails at once.
_MAX_WATCHERS = 9
# Longest wait of a watch.
_MAX_WATCH_MS = 4_000
# The fastest level already compresses configurations to a tenth.
_COMPRESSION_LEVEL = 1
_MAX_BATCH_BYTES = 64 * 1024 * 1024
# Longer cold times in a heartbeat are limited to this.
_MAX_PEER_COLD_MS = 60_000
# Larger datagrams may be fragmented by the network.
_MAX_DATAGRAM_BYTES = 1_200
# Bounds what a peer's wrong figure can take of the others' shares.
_MAX_DEMAND = 100_000
# Senders and reasons of malformed messages that are remembered.
_MAX_LOGGED_MALFORMED = 1_024

# A heartbeat with a negative count is malformed.
_Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]


class VersionCount(msgspec.Struct, frozen=True, array_like=True):
    """One daemon's evidence on one version of a service in a roll-out."""

    service: str
    version: str
    # Store revision of the roll-out's order.
    order_revision: int
    good: _Count
    failed: _Count
    slow: _Count
    # In-flight requests on versions other than the target; the same in all
    # counts of a service.
    off_target: _Count
    # Stratum (see `_version_comparison`) and its good, failed and slow
    # responses; empty from a daemon that does not tell them apart.
    strata: tuple[tuple[int, _Count, _Count, _Count], ...] = ()


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    """One daemon's paces of the versions of a service in a roll-out."""

    service: str
    # Store revision of the roll-out's order.
    order_revision: int
    # Number of paces by class, by stratum.
    target: dict[int, dict[int, int]]
    others: dict[int, dict[int, int]]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """The state that a daemon publishes to its peers."""

    node: str
    incarnation: str
    # Increases with each heartbeat, so that reordered ones can be dropped.
    sequence: int
    # Revision of its local copy of the fleet state.
    revision: int
    # Whether that was recently confirmed as the store's latest revision. For
    # daemons that do not know `confirmed_age_ms`.
    current: bool
    # Whether it can reach the store.
    store_reachable: bool
    # Whether it accepts callers.
    ready: bool
    versions: tuple[VersionCount, ...]
    # Number of this daemon's in-flight requests by upstream digest.
    in_flight: dict[int, _Count] = {}
    # Era of the store that the revision belongs to.
    era: int = 0
    # Version of its configuration; 0 if it has none.
    configuration: int = 0
    # Service and order revision of the roll-outs that it has stopped.
    stopped: tuple[tuple[str, int], ...] = ()
    # Digests of the upstreams that it cannot reach.
    unreachable: tuple[int, ...] = ()
    # The fleet's evidence on traits of requests, as far as it knows it.
    traits: EvidenceReport = EvidenceReport()
    # Its paces of the services in a roll-out that has not ended.
    paces: tuple[PaceReport, ...] = ()
    # Time since a response of the store to this daemon last showed that the
    # revision was the latest; None if none has.
    confirmed_age_ms: _Count | None = None
    # Number of requests that it would relay to upstreams for peers now.
    relay_room: _Count = 0
    # Whether it has lost so many links that the upstreams are hardly at fault.
    links_doubted: bool = False
    # Rejections in a second that upstreams withstand, by service; only what
    # its own responses announced.
    rejection_limits: dict[str, _Count] = {}
    # Remaining work of the requests in `in_flight`, in its order, in tenths of
    # a second; empty if the daemon does not estimate it.
    work: tuple[_Count, ...] = ()
    # Its requests in flight and waiting, by service, averaged over a second;
    # None if the daemon does not report it.
    demand: dict[str, _Count] | None = None
    # Time for which upstreams that have restarted are still cold, in
    # milliseconds by upstream digest.
    cold_ms: dict[int, _Count] = {}
    # Tokens that the requests in `in_flight` keep in the upstreams' memory, in
    # its order, in thousands.
    kilotokens: tuple[_Count, ...] = ()
    # Mean duration of work, in per cent of the usual one, that upstreams have
    # reported to it since its last heartbeat; by upstream digest.
    durations: dict[int, _Count] = {}
    # What upstreams announced to this daemon, by digest of their run: requests
    # a second that they take from all daemons, in thousandths (None if they
    # have no limit any more), and the age of the announcement in milliseconds.
    rate_limits: dict[int, tuple[_Count | None, _Count]] = {}

    @property
    def version(self) -> StoreVersion:
        """Era and revision of its local copy of the fleet state."""
        return StoreVersion(self.era, self.revision)


class EvidenceMessage(
    msgspec.Struct, frozen=True, array_like=True, tag="evidence"
):
    """Evidence that does not fit into its daemon's heartbeat."""

    traits: EvidenceReport


class WireItem(msgspec.Struct, frozen=True, array_like=True):
    """An item of the fleet state as encoded for a peer."""

    key: str
    # None if the key was removed.
    value: bytes | None
    revision: int


class WireBatch(msgspec.Struct, frozen=True, array_like=True):
    """The items that a peer requested."""

    items: tuple[WireItem, ...]
    revision: int
    era: int = 0
    complete: bool = False


def encode_batch(batch: ItemBatch) -> bytes:
    """Encodes items for a peer, compressed for links of low bandwidth."""
    items = tuple(
        WireItem(key=item.key, value=item.value, revision=item.revision)
        for item in batch.items
    )
    encoded = msgspec.msgpack.encode(
        WireBatch(
            items=items,
            revision=batch.revision,
            era=batch.era,
            complete=batch.complete,
        )
    )
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def decode_batch(data: bytes) -> ItemBatch:
    """Decodes the items in a peer's reply.

    Raises:
        PeerReplyError: If the data is malformed, truncated or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, _MAX_BATCH_BYTES)
        if not decompressor.eof:
            raise PeerReplyError("the batch is truncated or too large")
        batch = msgspec.msgpack.decode(encoded, type=WireBatch)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise PeerReplyError(str(error)) from error
    items = tuple(
        Item(key=item.key, value=item.value, revision=item.revision)
        for item in batch.items
    )
    return ItemBatch(
        items=items,
        revision=batch.revision,
        era=batch.era,
        complete=batch.complete,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """The last known state of another daemon."""

    heartbeat: Heartbeat
    # Monotonic time when the heartbeat was received.
    received_ms: int


def heartbeat_interval_ms(members: int) -> int:
    """Returns the interval between a daemon's heartbeats."""
    interval_ms = _INTERVAL_MS_PER_MEMBER * members
    return min(_MAX_INTERVAL_MS, max(_MIN_INTERVAL_MS, interval_ms))


def min_heartbeat_gap_ms(members: int) -> int:
    """Returns the least time between heartbeats with urgent evidence."""
    return heartbeat_interval_ms(members) // _URGENT_PER_INTERVAL


def peer_timeout_ms(members: int) -> int:
    """Returns the time without a heartbeat after which a peer is dead."""
    missed_ms = _MISSED_HEARTBEATS * heartbeat_interval_ms(members)
    return max(_MIN_PEER_TIMEOUT_MS, missed_ms)


def watches_store(own_name: str, reachable: Collection[str]) -> bool:
    """Returns whether a daemon should watch the store itself.

    Load pattern: every change completes every watch, and each watch is a call
    to the store. The permitted rate of calls grows more slowly than the fleet.

    Args:
        own_name: The daemon.
        reachable: Other live daemons that can reach the store.
    """
    names = {own_name, *reachable}
    return own_name in rank("watchers", names)[:_MAX_WATCHERS]


def watch_wait_ms(
    own_name: str,
    reachable: Collection[str],
    *,
    interval_ms: int,
    in_step: bool,
) -> int:
    """Returns how long a daemon's next watch of the store waits.

    Load pattern: a change completes all watches at once. If the store goes away
    before the next ones are opened, all of these are lost, and the daemons only
    notice when their wait is over. The waits therefore end in turn, so that one
    of the daemons checks the store in each interval.

    Args:
        own_name: The daemon.
        reachable: Other live daemons that can reach the store.
        interval_ms: Time between the ends of two daemons' watches.
        in_step: Whether the daemons open their watches at the same time, as
            after a change.
    """
    watchers = rank("watchers", {own_name, *reachable})[:_MAX_WATCHERS]
    turns = len(watchers)
    if in_step and own_name in watchers:
        turns = watchers.index(own_name) + 1
    return min(_MAX_WATCH_MS, turns * interval_ms)


class PeerTable:
    """The daemons that recently sent a heartbeat.

    Args:
        own_name: Name of this VM.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._peers: dict[str, Peer] = {}
        self._in_flight: Counter[int] = Counter()
        self._work = PeerWorkTable()
        self._unreachable: Counter[int] = Counter()
        # Monotonic time until which peers hold upstreams for cold, by digest.
        self._cold_until_ms: dict[int, int] = {}
        self._newest_configuration = 0

    @property
    def newest_configuration(self) -> int:
        """Highest configuration version of any peer so far; 0 if none."""
        return self._newest_configuration

    def record(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Records a heartbeat; ignores reordered ones of an incarnation."""
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
        self._newest_configuration = max(
            self._newest_configuration, heartbeat.configuration
        )
        self._peers[heartbeat.node] = Peer(
            heartbeat=heartbeat, received_ms=now_ms
        )
        if known is not None:
            self._subtract(known.heartbeat)
        self._in_flight.update(heartbeat.in_flight)
        for digest, cold_ms in heartbeat.cold_ms.items():
            until_ms = now_ms + min(cold_ms, _MAX_PEER_COLD_MS)
            self._cold_until_ms[digest] = max(
                until_ms, self._cold_until_ms.get(digest, 0)
            )
        self._work.add(
            heartbeat.in_flight, heartbeat.work, heartbeat.kilotokens
        )
        if not heartbeat.links_doubted:
            self._unreachable.update(heartbeat.unreachable)

    def expire(self, now_ms: int) -> None:
        """Removes the daemons whose heartbeats have stopped."""
        limit_ms = peer_timeout_ms(len(self._peers) + 1)
        for name, peer in list(self._peers.items()):
            if now_ms - peer.received_ms > limit_ms:
                del self._peers[name]
                self._subtract(peer.heartbeat)
                self._log(name, "silent", peer.heartbeat.incarnation)
        for digest, until_ms in list(self._cold_until_ms.items()):
            if now_ms >= until_ms:
                del self._cold_until_ms[digest]

    def alive(self) -> Mapping[str, Peer]:
        """Returns the live daemons by VM name."""
        return self._peers

    def in_flight(self) -> Mapping[int, int]:
        """Returns the peers' in-flight requests, summed by upstream digest."""
        return self._in_flight

    def cold_until_ms(self, digest: int) -> int:
        """Returns until when peers hold an upstream for cold; 0 if not."""
        return self._cold_until_ms.get(digest, 0)

    def work(self) -> Mapping[int, PeerWork]:
        """Returns the peers' work left, summed by upstream digest."""
        return self._work.by_digest()

    def work_age_ms(self, upstream_id: str, now_ms: int) -> int | None:
        """Returns the age of the oldest heartbeat with work at an upstream."""
        digest = upstream_digest(upstream_id)
        ages_ms = (
            now_ms - peer.received_ms
            for peer in self._peers.values()
            if digest in peer.heartbeat.in_flight
        )
        return max(ages_ms, default=None)

    def unreachable(self) -> Mapping[int, int]:
        """Returns how many peers cannot reach an upstream, by its digest.

        Peers that have lost most of their links do not count.
        """
        return self._unreachable

    def demand(self, service: str) -> dict[str, int]:
        """Returns the peers' demands for a service, by name.

        Peers that do not report their demand are missing.
        """
        return {
            name: min(_MAX_DEMAND, peer.heartbeat.demand.get(service, 0))
            for name, peer in self._peers.items()
            if peer.heartbeat.demand is not None
        }

    def evidence(
        self, service: str, order_revision: int
    ) -> tuple[dict[str, VersionEvidence], int]:
        """Sums the peers' evidence on a roll-out order.

        Returns:
            Evidence by version, and the number of the peers' in-flight
            requests on versions other than the target.
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
                reported = VersionEvidence(
                    good=count.good, failed=count.failed, slow=count.slow
                )
                known = total.get(count.version, VersionEvidence())
                total[count.version] = known.merge(reported)
        return total, off_target

    def strata(
        self, service: str, order_revision: int
    ) -> Iterator[tuple[str, dict[str, dict[int, VersionEvidence]]]]:
        """Yields each peer's start and its evidence on an order by stratum."""
        for peer in self._peers.values():
            yield (
                f"{peer.heartbeat.node}/{peer.heartbeat.incarnation}",
                {
                    count.version: {
                        key: VersionEvidence(
                            good=good, failed=failed, slow=slow
                        )
                        for key, good, failed, slow in count.strata
                    }
                    for count in peer.heartbeat.versions
                    if count.service == service
                    and count.order_revision == order_revision
                },
            )

    def paces(
        self, service: str, order_revision: int
    ) -> tuple[list[PaceCounts], list[PaceCounts]]:
        """Returns the peers' paces of a target and of the other versions."""
        reports = [
            report
            for peer in self._peers.values()
            for report in peer.heartbeat.paces
            if report.service == service
            and report.order_revision == order_revision
        ]
        return (
            [report.target for report in reports],
            [report.others for report in reports],
        )

    def _subtract(self, heartbeat: Heartbeat) -> None:
        self._in_flight.subtract(heartbeat.in_flight)
        self._work.subtract(
            heartbeat.in_flight, heartbeat.work, heartbeat.kilotokens
        )
        if not heartbeat.links_doubted:
            self._unreachable.subtract(heartbeat.unreachable)
        # Zero counts would keep every upstream that ever existed.
        for digest in heartbeat.unreachable:
            if self._unreachable[digest] <= 0:
                del self._unreachable[digest]
        for digest in heartbeat.in_flight:
            if self._in_flight[digest] <= 0:
                del self._in_flight[digest]

    def _log(self, name: str, outcome: str, incarnation: str) -> None:
        log_event("peer", peer=name, outcome=outcome, incarnation=incarnation)


def encode_heartbeat(heartbeat: Heartbeat) -> list[bytes]:
    """Returns the datagrams of a heartbeat.

    If it is too large for one, the estimates of work are left out; if that is
    not enough, the evidence on traits gets one of its own, and then further
    details are left out.
    """
    data = msgspec.msgpack.encode(heartbeat)
    if len(data) > _MAX_DATAGRAM_BYTES:
        heartbeat = msgspec.structs.replace(
            heartbeat, work=(), kilotokens=(), durations={}
        )
        data = msgspec.msgpack.encode(heartbeat)
    if len(data) <= _MAX_DATAGRAM_BYTES:
        return [data]
    evidence = msgspec.msgpack.encode(EvidenceMessage(heartbeat.traits))
    for field, empty in (
        ("traits", EvidenceReport()),
        ("versions", _without_strata(heartbeat.versions)),
        ("in_flight", {}),
        ("paces", ()),
        ("demand", None),
    ):
        if len(data) > _MAX_DATAGRAM_BYTES:
            heartbeat = msgspec.structs.replace(heartbeat, **{field: empty})
            data = msgspec.msgpack.encode(heartbeat)
    return [data, evidence]


def _without_strata(
    versions: tuple[VersionCount, ...],
) -> tuple[VersionCount, ...]:
    return tuple(
        msgspec.structs.replace(count, strata=()) for count in versions
    )


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives heartbeats over UDP.

    Args:
        on_heartbeat: Called for each received heartbeat.
        on_evidence: Called for each report of evidence that is received
            outside of a heartbeat.
    """

    def __init__(
        self,
        on_heartbeat: Callable[[Heartbeat], None],
        on_evidence: Callable[[EvidenceReport], None],
    ) -> None:
        self._on_heartbeat = on_heartbeat
        self._on_evidence = on_evidence
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Heartbeat | EvidenceMessage)
        # Senders and reasons of the malformed messages that were logged.
        self._malformed: set[tuple[str, str]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # The event loop's transport class does not inherit from the public one.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a message and passes it on; logs malformed ones."""
        try:
            message = self._decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            self._log_malformed(addr[0], str(error))
            return
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message)
        else:
            self._on_evidence(message.traits)

    def _log_malformed(self, sender: str, reason: str) -> None:
        """Logs the first of a sender's messages that fail for a reason.

        A daemon of a later build may send messages that this one cannot read
        with each heartbeat.
        """
        if (sender, reason) in self._malformed:
            return
        if len(self._malformed) >= _MAX_LOGGED_MALFORMED:
            self._malformed.clear()
        self._malformed.add((sender, reason))
        log_event("malformed_heartbeat", sender=sender, reason=reason)

    def send(self, heartbeat: Heartbeat, members: list[Member]) -> None:
        """Sends a heartbeat."""
        if self._transport is None:
            return
        datagrams = encode_heartbeat(heartbeat)
        for member in members:
            address = (member.peer_host, member.heartbeat_port)
            for data in datagrams:
                self._transport.sendto(data, address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
