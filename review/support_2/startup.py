"""A machine that lists the store before the others have registered there."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import urllib.parse
from collections.abc import Callable
from typing import Any

from review.support_2.deployment import (
    HOST,
    DaemonProcess,
    Deployment,
    run_case,
)
from review.support_2.standins import PlatformStoreStandIn, config_document
from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerState,
)
from trefoilpitch.rendezvous import rank

_MACHINES = 11
# The store's usual 4 ms, 60 times as long: the site's largest platform_slow.
_SLOW_S = 0.24
_LEAD_S = 0.05
# Without the disruption the machines do not start at the same moment.
_CALM_LEAD_S = 3.0
# The bound `config-apply-ms`, and a margin.
_APPLY_S = 2.0
_MARGIN_S = 1.0
_REQUESTS = 30
_INTERVAL_S = 0.1
_JSON = (b"Content-Type", b"application/json")
_PREFIX = "/trefoilpitch/"


class SlowStore:
    """The store while it answers some calls slowly, for some machines.

    Args:
        store: The store.
        before: Runs before a call is carried out, given its name.
        after: Runs before its response is sent.
    """

    def __init__(
        self,
        store: PlatformStoreStandIn,
        before: Callable[[str], Any],
        after: Callable[[str], Any],
    ) -> None:
        self._store = store
        self._before = before
        self._after = after
        self._server = HttpServer(
            ServerState(
                handler=self._handle, limits=RequestLimits, now_ms=lambda: 0
            )
        )
        self.port = 0

    async def start(self) -> None:
        """Listens for the machines."""
        self._server.__enter__()
        self.port = await self._server.listen(HOST, 0)

    def close(self) -> None:
        """Ends all connections."""
        self._server.__exit__(None, None, None)

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        url = urllib.parse.urlsplit(request.target.decode())
        name, _, argument = url.path.removeprefix(_PREFIX).partition("/")
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(request.body or b"{}")
        await self._before(name)
        serve: Callable[..., Any] = self._store._serve
        status, result = await serve(name, argument, query, body)
        await self._after(name)
        era = self._store._era_header()
        await responder.respond(
            status, [_JSON, era], json.dumps(result).encode()
        )


class _Start:
    """Lets one machine's listing be older than all registrations."""

    def __init__(self, store: PlatformStoreStandIn) -> None:
        self._listed = asyncio.Event()
        self.first = SlowStore(store, self._nothing, self._after_first)
        self.others = SlowStore(store, self._before_others, self._nothing)

    async def _nothing(self, name: str) -> None:
        pass

    async def _after_first(self, name: str) -> None:
        if name == "kv-range":
            self._listed.set()
            await asyncio.sleep(_SLOW_S)

    async def _before_others(self, name: str) -> None:
        if self._listed.is_set():
            return
        try:
            async with asyncio.timeout(_SLOW_S):
                await self._listed.wait()
        except TimeoutError:
            return


async def _start(
    deployment: Deployment, first: DaemonProcess, trouble: bool
) -> None:
    """Starts the machines, in the case of trouble all within 0.3 s."""
    start = _Start(deployment.store)
    await start.first.start()
    await start.others.start()
    for daemon in deployment.daemons:
        if trouble:
            view = start.first if daemon is first else start.others
            daemon.store = f"{HOST}:{view.port}"
        daemon.write_settings(
            deployment.daemons[:3], f"{HOST}:{deployment.store.address.port}"
        )
    first.start()
    deployment.record.note(f"{first.name} starts")
    await asyncio.sleep(_LEAD_S if trouble else _CALM_LEAD_S)
    for daemon in deployment.daemons:
        if daemon is not first:
            daemon.start()
    deployment.record.note("the others have started")
    for daemon in deployment.daemons:
        await deployment.wait_ready(daemon)


async def scenario(deployment: Deployment, trouble: bool) -> bool:
    """Runs the case; returns whether the rule CONFIG held."""
    record = deployment.record
    tenants = [{"name": "workspace-a", "api-keys": ["key-a", "key-b"]}]
    deployment.store.put("op/config", config_document(1, tenants=tenants))
    for number in range(3):
        await deployment.add_worker(f"i-{number}", "plain-service")
    by_name = {daemon.name: daemon for daemon in deployment.daemons}
    first = by_name[rank("watchers", by_name)[-1]]
    await _start(deployment, first, trouble)
    await asyncio.sleep(4.0)
    tenants = [{"name": "workspace-a", "api-keys": ["key-b"]}]
    deployment.store.put("op/config", config_document(2, tenants=tenants))
    record.note("version 2 takes key-a away")
    await asyncio.sleep(_APPLY_S + _MARGIN_S)
    run: list[str] = []
    for number in range(_REQUESTS):
        daemon = deployment.daemons[number % _MACHINES]
        status, _ = await deployment.request(daemon, "/once/x", "revoked")
        if status == 200:
            run.append(daemon.name)
        status, _ = await deployment.request(first, "/once/x", "revoked")
        if status == 200:
            run.append(first.name)
        await asyncio.sleep(_INTERVAL_S)
    record.note(
        f"{len(run)} requests with the key that was taken away were run,"
        f" by {sorted(set(run))}"
    )
    return not run


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(sys.argv[1]), _MACHINES, scenario))
