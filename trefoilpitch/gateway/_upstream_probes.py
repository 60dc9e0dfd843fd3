"""Finds out from several daemons whether an upstream is running.

Load pattern: a VM loses its links to the upstreams, and connections to them are
refused on the way, or hang. To this VM all upstreams seem to have ended at once
under the requests that it had sent to them, or it cannot tell which ones have.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from trefoilpitch.fleet import FleetView, Member, UpstreamEntry
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._http_client import connect
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._relay_messages import (
    PROBE_TARGET,
    decode_probe_result,
    relay_headers,
)
from trefoilpitch.gateway._relays import Relays
from trefoilpitch.gateway._upstream_links import Reachability, UpstreamLinks

# Peers that are asked about an upstream that refuses connections here.
_WITNESSES = 6
# The same for one that does not respond. A daemon that loses all of its links
# asks about all upstreams at once; who is asked changes with each probe.
_WITNESSES_OF_SILENCE = 2
# Other upstreams that are probed to tell the end of an upstream from a loss of
# this daemon's own links.
_OTHER_UPSTREAMS = 3
# Time for a connection to a peer, and for its reply, in milliseconds: it waits
# for a connection to the upstream.
_CONNECT_TIMEOUT_MS = 200
_REPLY_TIMEOUT_MS = 500


class UpstreamProbes:
    """Examines upstreams from this daemon and from its peers.

    Args:
        view: Local copy of the shared fleet state.
        links: This daemon's own links.
        relays: The peers.
        own_name: Name of this VM.
        is_uncertain: Returns whether there are probably peers that are not
            known.
    """

    def __init__(
        self,
        view: FleetView,
        links: UpstreamLinks,
        relays: Relays,
        *,
        own_name: str,
        is_uncertain: Callable[[], bool] = lambda: False,
    ) -> None:
        self._view = view
        self._links = links
        self._relays = relays
        self._own_name = own_name
        self._is_uncertain = is_uncertain

    async def probe(self, entry: UpstreamEntry) -> Reachability:
        """Returns whether an upstream is running.

        One that this daemon cannot reach has ended if it refuses connections
        and no peer reaches it. If no peer says anything, a lost link looks the
        same, unless this daemon reaches another upstream meanwhile.
        """
        own = await self._links.probe(entry)
        if own is Reachability.REACHED:
            return own
        refused = own is Reachability.REFUSED
        witnesses = self._relays.witnesses(
            entry, _WITNESSES if refused else _WITNESSES_OF_SILENCE
        )
        seen = await asyncio.gather(*(self._ask(m, entry) for m in witnesses))
        result = _verdict(seen)
        others: dict[str, Reachability] = {}
        if result is Reachability.UNKNOWN and refused:
            if not witnesses and not self._is_uncertain():
                result = own
            else:
                others = await self._probe_others(entry)
                if Reachability.REACHED in others.values():
                    # The link may have been restored between the two.
                    result = await self._links.probe(entry)
        log_event(
            "upstream_probed",
            upstream=entry.upstream_id,
            own=own.value,
            peers={
                member.name: reachability.value
                for member, reachability in zip(witnesses, seen, strict=True)
            },
            others={name: found.value for name, found in others.items()},
            outcome=result.value,
        )
        return result

    async def _probe_others(
        self, entry: UpstreamEntry
    ) -> dict[str, Reachability]:
        """Probes some other upstreams, those in the same domain first."""
        others = [
            cached.entry
            for cached in self._view.upstreams.values()
            if cached.entry.upstream_id != entry.upstream_id
        ]
        others.sort(
            key=lambda other: (
                self._links.is_lost(other.upstream_id),
                other.failure_domain != entry.failure_domain,
            )
        )
        probed = others[:_OTHER_UPSTREAMS]
        found = await asyncio.gather(*(self._links.probe(k) for k in probed))
        return {
            other.upstream_id: reachability
            for other, reachability in zip(probed, found, strict=True)
        }

    async def _ask(self, member: Member, entry: UpstreamEntry) -> Reachability:
        host = f"{member.peer_host}:{member.peer_port}".encode()
        headers = relay_headers(
            [(b"Host", host)],
            entry,
            origin=self._own_name,
            timeout_ms=_REPLY_TIMEOUT_MS,
        )
        try:
            with await connect(
                member.peer_host, member.peer_port, _CONNECT_TIMEOUT_MS
            ) as connection:
                connection.send(b"GET", PROBE_TARGET, headers, b"")
                head = await connection.receive_head(_REPLY_TIMEOUT_MS)
        except ExchangeError as error:
            log_event(
                "probe_failed",
                peer=member.name,
                upstream=entry.upstream_id,
                reason=str(error),
            )
            return Reachability.UNKNOWN
        return decode_probe_result(head)


def _verdict(seen: Collection[Reachability]) -> Reachability:
    """Returns what peers have found out together."""
    for reachability in (Reachability.REACHED, Reachability.REFUSED):
        if reachability in seen:
            return reachability
    return Reachability.UNKNOWN
