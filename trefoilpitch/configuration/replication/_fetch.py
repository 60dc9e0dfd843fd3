"""Snapshots on their way between peers, page by page.

Whoever serves them keeps no state: each request names the snapshot and the
offset, and is answered with the newest snapshot if that one is gone.
"""

from __future__ import annotations

import dataclasses

from trefoilpitch.configuration.replication._adopt import adopt_snapshot
from trefoilpitch.configuration.replication._draft import Draft
from trefoilpitch.configuration.replication._messages import (
    SnapshotPage,
    SnapshotRequest,
)
from trefoilpitch.configuration.replication._state import SnapshotFetch

_MAX_SNAPSHOT_BYTES = 1_000_000


def start_fetch(draft: Draft, address: str) -> None:
    """Asks a peer for its configuration."""
    fetch = SnapshotFetch(address=address, asked_ms=draft.now_ms)
    draft.update(fetch=fetch)
    draft.send(address, SnapshotRequest(digest="", offset=0))


def expire_fetch(draft: Draft) -> None:
    """Asks again for a page that was lost, and gives up after a few times."""
    fetch, settings = draft.state.fetch, draft.state.settings
    if fetch is None:
        return
    if draft.now_ms - fetch.asked_ms < settings.page_timeout_ms:
        return
    if fetch.attempts >= settings.page_attempts:
        _abandon_fetch(draft)
        return
    again = dataclasses.replace(
        fetch, asked_ms=draft.now_ms, attempts=fetch.attempts + 1
    )
    draft.update(fetch=again)
    request = SnapshotRequest(digest=fetch.digest, offset=len(fetch.data))
    draft.send(fetch.address, request)


def on_snapshot_request(
    draft: Draft, address: str, request: SnapshotRequest
) -> None:
    """Answers with a page of the configuration in force."""
    state = draft.state
    offset = request.offset if request.digest == state.digest else 0
    end = offset + state.settings.page_bytes
    page = SnapshotPage(
        revision=state.revision,
        digest=state.digest,
        offset=offset,
        total_bytes=len(state.snapshot),
        data=state.snapshot[offset:end],
    )
    draft.send(address, page)


def on_snapshot_page(draft: Draft, address: str, page: SnapshotPage) -> None:
    """Adds a page, and puts the snapshot in force once it is whole."""
    fetch = draft.state.fetch
    if fetch is None or fetch.address != address:
        return
    if page.revision <= draft.state.revision or not _is_plausible(page):
        _abandon_fetch(draft)
        return
    data = fetch.data if page.digest == fetch.digest else b""
    if page.offset != len(data):
        return
    data += page.data
    if len(data) < page.total_bytes:
        draft.update(
            fetch=SnapshotFetch(
                address=address,
                asked_ms=draft.now_ms,
                digest=page.digest,
                data=data,
            )
        )
        request = SnapshotRequest(digest=page.digest, offset=len(data))
        draft.send(address, request)
        return
    draft.update(fetch=None)
    if adopt_snapshot(draft, data, page.digest):
        draft.count(peer_snapshots=1)
    else:
        _abandon_fetch(draft)


def _abandon_fetch(draft: Draft) -> None:
    """Leaves the snapshot to the store, and the peer out of account."""
    draft.update(fetch=None, informant="")
    draft.count(abandoned_fetches=1)


def _is_plausible(page: SnapshotPage) -> bool:
    return bool(page.data) and page.total_bytes <= _MAX_SNAPSHOT_BYTES
