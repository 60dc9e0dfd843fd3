"""This build and the one before share the store and serve side by side."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import subprocess
import sys
from collections.abc import AsyncIterator

import msgspec
import pytest

from trefoilpitch.fleet import (
    Member,
    QuarantineRecord,
    RolloutPhase,
    RolloutRecord,
    Write,
)
from trefoilpitch.gateway import ListenAddress, Node, NodeSettings
from trefoilpitch.gateway.tests import messages_634f958 as previous
from trefoilpitch.gateway.tests.recorded_messages import (
    recorded_bytes,
    recorded_messages,
)
from trefoilpitch.platform._documents import PlatformDocuments
from trefoilpitch.platform.tests.cut_links import CutMode, Daemon, LinkCut
from trefoilpitch.platform.tests.harness import (
    Fleet,
    node_settings,
    running_node,
    running_workers,
    wait_until,
)

_RECORDED = recorded_messages()
_DOCUMENTS = PlatformDocuments()
_ROOT = pathlib.Path(__file__).resolve().parents[3]
# A checkout of commit 634f958: `git worktree add .old 634f958`.
_PREVIOUS = _ROOT / ".old"
_STOP_S = 5.0
_SETTINGS = """\
node = "{name}"
zone = "{zone}"
region = "region"
ip = "{host}"
port-range = [{heartbeats}, {heartbeats}]
seeds = []
[listen]
front = "{callers}"
ready = "{readiness}"
directory = "{directory}"
control = "{peers}"
[bounds]
grace-s = 2
config-apply-ms = 2000
retry-ratio = 0.9
retry-slack = 60
retry-window-s = 10
[platform]
address = "{store}"
"""


def _value(key: str) -> bytes:
    return recorded_bytes(_RECORDED.documents[key])


def test_recorded_documents_are_read() -> None:
    kinds = set()
    for key in _RECORDED.documents:
        document = _DOCUMENTS.decode(key, _value(key))
        kinds.add(type(document))
        name = key.rpartition("/")[2]
        if isinstance(document, Member):
            assert (document.name, document.heartbeat_port) == (name, 9_000)
            assert document.caller_address == "10.0.0.1:8080"
        elif isinstance(document, QuarantineRecord):
            assert (document.name, document.traits) == (name, (7, 11))
            assert document.last_wall_ms == 1_770_000_000_000
        else:
            assert isinstance(document, RolloutRecord)
            assert document.service == name
            assert (document.target, document.percent) == ("v2", 25)
    assert kinds == {Member, QuarantineRecord, RolloutRecord}


def _writes() -> list[tuple[Write, type[msgspec.Struct]]]:
    """Returns what this build stores, and how the one before decodes it."""
    member = Member(
        name="vm-1",
        incarnation="0123456789ab",
        caller_address="10.0.0.1:8080",
        peer_host="10.0.0.1",
        peer_port=8_083,
        heartbeat_port=9_000,
        failure_domain="suva",
    )
    quarantine = QuarantineRecord(
        name="5c1e07a2", traits=(7, 11), endings=((5, 1_770_000_000_000),)
    )
    rollouts = [
        RolloutRecord(
            service="chat",
            target="v2",
            order_revision=300,
            phase=phase,
            percent=25,
        )
        for phase in RolloutPhase
    ]
    return [
        (_DOCUMENTS.encode_member(member, 5), previous.Member),
        (_DOCUMENTS.encode_quarantine(quarantine, 6), previous.Quarantine),
        *(
            (_DOCUMENTS.encode_rollout(record)[0], previous.Rollout)
            for record in rollouts
        ),
    ]


@pytest.mark.parametrize(("write", "structure"), _writes())
def test_previous_build_reads_what_this_one_stores(
    write: Write, structure: type[msgspec.Struct]
) -> None:
    old = msgspec.json.decode(write.value, type=structure)
    new = msgspec.json.decode(write.value)
    known = msgspec.json.decode(msgspec.json.encode(old))
    assert known == {name: new[name] for name in known}
    if isinstance(old, previous.Rollout):
        assert f"trefoilpitch/rollout/service-{old.phase}" in (
            _RECORDED.documents
        )


@pytest.mark.parametrize("key", _RECORDED.documents)
def test_document_of_a_later_build_is_read(key: str) -> None:
    """The next build may add fields to what it stores."""
    later = msgspec.json.decode(_value(key)) | {"later": {"a": [1]}}
    assert _DOCUMENTS.decode(key, msgspec.json.encode(later)) == (
        _DOCUMENTS.decode(key, _value(key))
    )


def _settings_text(settings: NodeSettings, store: ListenAddress) -> str:
    addresses = {
        "callers": settings.callers,
        "readiness": settings.readiness,
        "directory": settings.directory,
        "peers": settings.peers,
        "store": store,
    }
    return _SETTINGS.format(
        name=settings.name,
        zone=settings.failure_domain,
        host=settings.heartbeats.host,
        heartbeats=settings.heartbeats.port,
        **{name: f"{a.host}:{a.port}" for name, a in addresses.items()},
    )


@contextlib.asynccontextmanager
async def _running_previous_build(
    fleet: Fleet, folder: pathlib.Path
) -> AsyncIterator[tuple[NodeSettings, pathlib.Path]]:
    """Runs a daemon of the previous build; yields its settings and log."""
    settings = node_settings("vm-old")
    path, log = folder / "vm-old.toml", folder / "vm-old.log"
    path.write_text(_settings_text(settings, fleet.store.address))
    variables = {"PYTHONPATH": str(_PREVIOUS), "TREFOILPITCH_BOOT": str(path)}
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-P", "-m", "trefoilpitch.platform"],
            env=os.environ | variables,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        try:
            await wait_until(lambda: b'"listening"' in log.read_bytes())
            yield settings, log
            assert process.poll() is None
        finally:
            process.kill()
            process.wait(_STOP_S)


def _heard(node: Node, name: str) -> int:
    """Returns the number of a daemon's last heartbeat; 0 if it is not heard."""
    peer = node._peers.alive().get(name)
    return 0 if peer is None else peer.heartbeat.sequence


@pytest.mark.skipif(
    not _PREVIOUS.is_dir(),
    reason="not run: no checkout of the previous build in .old",
)
def test_daemons_of_both_builds_serve_together(tmp_path: pathlib.Path) -> None:
    """They hear each other, and each relays what the other cannot send."""

    async def scenario() -> None:
        async with (
            running_workers(plain=2) as fleet,
            _running_previous_build(fleet, tmp_path) as (settings, log),
            running_node(node_settings("vm-new"), fleet.store) as node,
        ):
            links = LinkCut(node)
            own = Daemon(settings=node._settings, node=node, links=links)
            old = Daemon(settings=settings, node=node, links=links)
            heard = b'"peer":"vm-new","outcome":"heard"'
            await wait_until(lambda: heard in log.read_bytes())
            await wait_until(lambda: _heard(node, "vm-old"))
            await wait_until(lambda: len(node.view.upstreams) == 2)
            for number in range(10):
                for daemon in (own, old):
                    head, _ = await daemon.send_request(
                        "/plain/x", f"id-{number}"
                    )
                    assert head.status == 200
            links.cut(CutMode.RESET)
            head, _ = await own.send_request("/plain/x", "id-relayed")
            assert head.status == 200
            relayed = b'"event":"relayed","id":"id-relayed"'
            await wait_until(lambda: relayed in log.read_bytes())
            known = _heard(node, "vm-old")
            await wait_until(lambda: _heard(node, "vm-old") > known + 3)
        text = log.read_bytes()
        assert b"malformed" not in text
        assert b"task_failed" not in text
        assert b"silent" not in text

    asyncio.run(asyncio.wait_for(scenario(), 60))
