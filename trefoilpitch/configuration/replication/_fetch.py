"""Transfers snapshots between peers, page by page.

The serving side keeps no state: each request contains the snapshot's digest
and an offset. If that snapshot is no longer current, the reply is the first
page of the newest one.
"""

from __future__ import annotations

import dataclasses

from trefoilpitch.configuration.replication._adopt import adopt_snapshot
from trefoilpitch.configuration.replication._messages import (
    SnapshotPage,
    SnapshotRequest,
)
from trefoilpitch.configuration.replication._state import SnapshotFetch
from trefoilpitch.configuration.replication._transition import Transition

# The size limit of a store value.
_MAX_SNAPSHOT_BYTES = 1_000_000


def start_fetch(transition: Transition, address: str) -> None:
    """Requests the first page of a peer's snapshot."""
    fetch = SnapshotFetch(address=address, requested_ms=transition.now_ms)
    transition.update(fetch=fetch)
    transition.send(address, SnapshotRequest(digest="", offset=0))


def expire_fetch(transition: Transition) -> None:
    """Requests a lost page again; abandons the fetch after a few attempts."""
    fetch, settings = transition.state.fetch, transition.state.settings
    if fetch is None:
        return
    if transition.now_ms - fetch.requested_ms < settings.page_timeout_ms:
        return
    if fetch.attempts >= settings.page_attempts:
        _abandon_fetch(transition)
        return
    again = dataclasses.replace(
        fetch, requested_ms=transition.now_ms, attempts=fetch.attempts + 1
    )
    transition.update(fetch=again)
    request = SnapshotRequest(digest=fetch.digest, offset=len(fetch.data))
    transition.send(fetch.address, request)


def on_snapshot_request(
    transition: Transition, address: str, request: SnapshotRequest
) -> None:
    """Replies with a page of the configuration in force."""
    state = transition.state
    offset = request.offset if request.digest == state.digest else 0
    end = offset + state.settings.page_bytes
    page = SnapshotPage(
        revision=state.revision,
        digest=state.digest,
        offset=offset,
        total_bytes=len(state.snapshot),
        data=state.snapshot[offset:end],
    )
    transition.send(address, page)


def on_snapshot_page(
    transition: Transition, address: str, page: SnapshotPage
) -> None:
    """Appends a page; puts the snapshot in force once it is complete."""
    fetch = transition.state.fetch
    if fetch is None or fetch.address != address:
        return
    if page.revision <= transition.state.revision or not _is_plausible(page):
        _abandon_fetch(transition)
        return
    data = fetch.data if page.digest == fetch.digest else b""
    if page.offset != len(data):
        return
    data += page.data
    if len(data) < page.total_bytes:
        transition.update(
            fetch=SnapshotFetch(
                address=address,
                requested_ms=transition.now_ms,
                digest=page.digest,
                data=data,
            )
        )
        request = SnapshotRequest(digest=page.digest, offset=len(data))
        transition.send(address, request)
        return
    transition.update(fetch=None)
    if adopt_snapshot(transition, data, page.digest):
        transition.count(peer_snapshots=1)
    else:
        _abandon_fetch(transition)


def _abandon_fetch(transition: Transition) -> None:
    """Ends a fetch and stops using the peer as a source.

    The next catch-up reads the snapshot from the store.
    """
    transition.update(fetch=None, peer_ahead="")
    transition.count(abandoned_fetches=1)


def _is_plausible(page: SnapshotPage) -> bool:
    return bool(page.data) and page.total_bytes <= _MAX_SNAPSHOT_BYTES
