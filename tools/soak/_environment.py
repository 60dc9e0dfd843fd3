"""The daemons' environment: the store, the workers and the operator."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from types import TracebackType
from typing import Self

from tools.soak._checks import (
    CONFIG_APPLY_MS,
    DRAIN_MS,
    EVACUATION_MS,
    Ban,
    ExtraRoute,
    RecordedRun,
)
from tools.soak._daemons import DOMAINS
from tools.soak._proxy import FaultProxy
from tools.soak._recorder import FOREVER_MS, Recorder
from trefoilpitch.standins import (
    PlatformStoreStandIn,
    PlatformWorkerStandIn,
    WorkerRun,
    config_document,
)

_HOST = "127.0.0.1"
_SERVICES = ("plain-service", "model-service")
_RESPONSE_DELAY_MS = 15
# How long the store is away before it comes back from a copy, and within which
# time the operator and the workers write again what it lacks.
_STORE_AWAY_MS = 150
_REWRITE_MS = 1_000


class Worker:
    """A worker stand-in behind a fault proxy.

    Args:
        name: The worker's id.
        service: The service that it runs.
        domain: Its failure domain.
    """

    def __init__(self, name: str, service: str, domain: str) -> None:
        self.standin = PlatformWorkerStandIn(name)
        self.standin.response_delay_ms = _RESPONSE_DELAY_MS
        self.service = service
        self.domain = domain
        self.link = FaultProxy(0)


class SoakEnvironment:
    """Store, workers and operator; a context manager.

    Args:
        recorder: Receives a record of runs, disturbances and bans.
        workers: Number of workers of each service.
        rng: Source of random gaps between configuration versions.
    """

    def __init__(
        self, recorder: Recorder, workers: int, rng: random.Random
    ) -> None:
        self.store = PlatformStoreStandIn()
        # The workers that are not draining, by id.
        self.workers: dict[str, Worker] = {}
        self._recorder = recorder
        self._workers_per_service = workers
        self._rng = rng
        self._stack = contextlib.AsyncExitStack()
        self._worker_count = 0
        # What the operator and the workers have written, by key.
        self._written: dict[str, object] = {}
        self._version = 1

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self.store)
        self.configure()
        for service in _SERVICES:
            for _ in range(self._workers_per_service):
                await self._add_worker(service)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def clear_worker_faults(self) -> None:
        """Removes pending worker faults and releases hanging requests."""
        for worker in self.workers.values():
            worker.standin.faults.clear()
            worker.standin.release.set()

    def drop_store_history(self) -> None:
        """Makes the store discard its history, so that watches must resync."""
        self._recorder.disturb(None, 0)
        self.store.discard_history()

    async def make_store_unavailable(self, for_ms: int) -> None:
        """Makes the store refuse every call with 503 for a time."""
        self._recorder.disturb(None, for_ms)
        self.store.refusal_status = 503
        await asyncio.sleep(for_ms / 1_000)
        self.store.refusal_status = None

    async def drop_store_responses(self, for_ms: int) -> None:
        """Makes the store execute writes without responding for a time."""
        self._recorder.disturb(None, for_ms)
        self.store.drop_write_responses = True
        await asyncio.sleep(for_ms / 1_000)
        self.store.drop_write_responses = False

    async def restore_store(self, for_ms: int) -> None:
        """Brings the store back from a copy that is as old as given.

        It is away for a moment before; operator and workers write again what
        it lacks within a second after.
        """
        self._recorder.disturb(None, for_ms + _STORE_AWAY_MS + _REWRITE_MS)
        copy = self.store.copy()
        await asyncio.sleep(for_ms / 1_000)
        self.store.refusal_status = 503
        await asyncio.sleep(_STORE_AWAY_MS / 1_000)
        self.store.restore(copy)
        self.store.refusal_status = None
        await asyncio.sleep(self._rng.random() * _REWRITE_MS / 1_000)
        self._write_again()

    def _write_again(self) -> None:
        for prefix in ("op/config", "op/evacuate/", "servers/"):
            for key in self.store.keys(prefix):
                if key not in self._written:
                    self.store.remove(key)
        for key, document in self._written.items():
            if self.store.value(key) != document:
                self.store.put(key, document)

    def _put(self, key: str, document: object) -> None:
        self._written[key] = document
        self.store.put(key, document)

    async def _add_worker(self, service: str) -> None:
        name = f"w{self._worker_count}"
        domain = DOMAINS[self._worker_count % len(DOMAINS)]
        self._worker_count += 1
        worker = Worker(name, service, domain)
        await self._stack.enter_async_context(worker.link)
        worker.standin.on_run = lambda run: self._record_run(worker, run)
        await self._stack.enter_async_context(worker.standin)
        worker.link.target_port = worker.standin.port
        self.workers[name] = worker
        self._register(worker, "ready")

    def _register(self, worker: Worker, state: str) -> None:
        entry = worker.standin.entry(worker.service, zone=worker.domain)
        entry |= {"address": f"{_HOST}:{worker.link.port}", "state": state}
        self._put(f"servers/{worker.standin.worker_id}", entry)

    def _record_run(self, worker: Worker, run: WorkerRun) -> None:
        self._recorder.history.runs.append(
            RecordedRun(
                request_id=run.request_id,
                worker=worker.standin.worker_id,
                domain=worker.domain,
                line=run.line,
                body=run.body,
                headers=run.headers,
                fault=run.fault,
                at_ms=self._recorder.now_ms(),
            )
        )

    async def replace_worker(self, name: str) -> None:
        """Starts a replacement for a worker and drains the old one."""
        old = self.workers[name]
        await self._add_worker(old.service)
        del self.workers[name]
        old.standin.faults.clear()
        old.standin.release.set()
        old.standin.leaving = True
        self._register(old, "draining")
        self._recorder.ban(worker=name, bound_ms=DRAIN_MS)

    def configure(self) -> None:
        """Writes a configuration that adds a route and removes the last one."""
        self._version += self._rng.randint(1, 3)
        extra = self._recorder.history.extra_routes
        now_ms = self._recorder.now_ms()
        if extra:
            extra[-1] = dataclasses.replace(extra[-1], to_ms=now_ms)
            self._recorder.ban(
                prefix=extra[-1].prefix, bound_ms=CONFIG_APPLY_MS
            )
        added = ExtraRoute(
            prefix=f"/extra-{self._version}/",
            from_ms=now_ms,
            to_ms=FOREVER_MS,
        )
        extra.append(added)
        document = config_document(self._version)
        document["routes"].append(
            document["routes"][0]
            | {
                "name": f"extra-{self._version}",
                "path-prefix": added.prefix,
            }
        )
        self._put("op/config", document)

    async def evacuate(self, domain: str, for_ms: int) -> None:
        """Takes a failure domain out of service for a time."""
        key = f"op/evacuate/{domain}"
        if key in self._written:
            return
        self._put(key, {"zone": domain})
        from_ms = self._recorder.now_ms()
        await asyncio.sleep(for_ms / 1_000)
        self._recorder.history.bans.append(
            Ban(
                domain=domain,
                from_ms=from_ms,
                bound_ms=EVACUATION_MS,
                to_ms=self._recorder.now_ms(),
            )
        )
        del self._written[key]
        self.store.remove(key)
