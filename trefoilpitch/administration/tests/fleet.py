"""The administration API of a small fleet with an in-memory store."""

from __future__ import annotations

import hashlib
import json
import urllib.parse
from typing import Any

from trefoilpitch.administration import AdminApi, AdminDependencies
from trefoilpitch.clock import ManualClock
from trefoilpitch.configuration import (
    EMPTY_CONFIGURATION,
    Committed,
    Configuration,
    HeadReader,
    configuration_writer,
)
from trefoilpitch.membership import (
    Endpoints,
    Member,
    MembershipView,
    MemberState,
    Report,
)
from trefoilpitch.metrics import Metrics
from trefoilpitch.store import MemoryStore, memory_store
from trefoilpitch.web import Request, Response

TOKEN = "operator"
_NAMES = ("entry-1", "entry-2")


class Fleet:
    """The state of the responding node of a fleet, and its API."""

    def __init__(self, store: MemoryStore | None = None) -> None:
        self.clock = ManualClock()
        self.store: MemoryStore = store or memory_store(self.clock)
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.reported = dict.fromkeys(_NAMES, 0)
        self.states = dict.fromkeys(_NAMES, MemberState.ALIVE)
        # Whether all nodes apply and confirm each commit at once.
        self.confirms_commits = True
        # Whether the responding node may commit changes.
        self.accepts_changes = True
        # A client of its own, so that store faults affect only the API.
        self._reader = HeadReader(self.store.new_client())
        dependencies = AdminDependencies(
            view=self._view,
            configuration=lambda: self.configuration,
            writer=configuration_writer(self.store),
            reader=HeadReader(self.store),
            accepts_changes=lambda: self.accepts_changes,
            confirm=self._confirm,
            store=self.store,
            dump=lambda: {"phase": "serving"},
            metrics=Metrics(),
            clock=self.clock,
        )
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        self.api = AdminApi(digest, dependencies, store_wait_ms=0)

    def send(
        self, method: str, path: str, body: Any = None, token: str = TOKEN
    ) -> Response:
        path, _, query = path.partition("?")
        pairs = dict(urllib.parse.parse_qsl(query))
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.api.handle(
            Request(
                method=method,
                path=path,
                query=pairs,
                headers={"authorization": f"Bearer {token}"},
                body=data,
            )
        )

    def catch_up(self) -> None:
        head = self._reader.read().unwrap().head
        self.configuration = self._reader.materialize(head).unwrap()
        self.reported = dict.fromkeys(_NAMES, self.configuration.revision)

    def _confirm(self, committed: Committed, sent_ms: int) -> bool:
        del committed, sent_ms
        if self.confirms_commits:
            self.catch_up()
        return self.confirms_commits

    def _view(self) -> MembershipView:
        return MembershipView(
            own_name="entry-1",
            members=tuple(map(self._member, _NAMES)),
            as_of_ms=0,
            last_contact_ms=0,
            is_settled=True,
        )

    def _member(self, name: str) -> Member:
        return Member(
            name=name,
            incarnation="1",
            failure_domain="suva",
            endpoints=Endpoints(
                caller_address="", admin_address="", peer_address=""
            ),
            state=self.states[name],
            report=Report(configuration_revision=self.reported[name]),
            report_ms=0,
        )


def change(kind: str, **fields: Any) -> dict[str, Any]:
    return {"kind": kind, "change_id": "c-1", "author": "mere", **fields}


def decode(response: Response) -> dict[str, Any]:
    assert isinstance(response.body, bytes)
    decoded: dict[str, Any] = json.loads(response.body)
    return decoded


def with_status(response: Response, status: int) -> dict[str, Any]:
    assert response.status == status, response.body
    return decode(response)


def replace_bundle_version(text: str, version: int) -> str:
    assert "version = 1\n" in text
    return text.replace("version = 1\n", f"version = {version}\n", 1)
