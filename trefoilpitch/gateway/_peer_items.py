"""Fetches the shared state, or changes of it, from other daemons over HTTP."""

from __future__ import annotations

import random
import re

from trefoilpitch.fleet import ItemBatch, StoreVersion
from trefoilpitch.gateway._exceptions import ExchangeError, PeerReplyError
from trefoilpitch.gateway._http_client import connect
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._node_settings import ListenAddress, NodeSettings
from trefoilpitch.gateway._peers import decode_batch

# Peers are a few milliseconds away; one that is down does not respond at all.
_CONNECT_TIMEOUT_MS = 200
_TIMEOUT_MS = 800
_MAX_BYTES = 16 * 1024 * 1024
_PATH = "/v1/items?after="
_TARGET = re.compile(
    re.escape(_PATH) + r"(?P<era>\d{1,18})\.(?P<revision>\d{1,18})"
)


def decode_items_target(target: bytes) -> StoreVersion | None:
    """Returns the version after which a peer wants changes.

    Returns:
        None if the target of the request is another one.
    """
    match = _TARGET.fullmatch(target.decode("latin-1"))
    if match is None:
        return None
    return StoreVersion(int(match["era"]), int(match["revision"]))


class PeerItems:
    """Requests items from peers.

    Args:
        settings: Name the seeds.
        rng: Spreads the requests over the seeds.
    """

    def __init__(self, settings: NodeSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    async def fetch_from_seeds(self) -> ItemBatch | None:
        """Fetches all items from a seed; None if no seed has any."""
        seeds = [s for s in self._settings.seeds if s != self._settings.peers]
        self._rng.shuffle(seeds)
        for seed in seeds:
            batch = await self.fetch(seed, StoreVersion(0, 0))
            if batch is not None and batch.items:
                log_event(
                    "view_loaded_from_peer",
                    peer=str(seed),
                    revision=batch.revision,
                    items=len(batch.items),
                )
                return batch
        return None

    async def fetch(
        self, address: ListenAddress, after: StoreVersion
    ) -> ItemBatch | None:
        """Fetches a peer's changes after a version; None if that failed."""
        target = f"{_PATH}{after.era}.{after.revision}".encode()
        host = f"{address.host}:{address.port}".encode()
        try:
            with await connect(
                address.host, address.port, _CONNECT_TIMEOUT_MS
            ) as connection:
                connection.send(b"GET", target, [(b"Host", host)], b"")
                await connection.receive_head(_TIMEOUT_MS)
                body = await connection.receive_body(_TIMEOUT_MS, _MAX_BYTES)
            return decode_batch(body)
        except (ExchangeError, PeerReplyError) as error:
            log_event("peer_fetch_failed", peer=str(address), reason=str(error))
            return None
