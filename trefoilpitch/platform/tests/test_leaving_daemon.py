"""A daemon that leaves: its directory, and the requests that it still has."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
from collections import deque
from collections.abc import AsyncIterator

import pytest

from trefoilpitch.gateway import (
    ExchangeError,
    HttpConnection,
    ListenAddress,
    NodeSettings,
    connect,
)
from trefoilpitch.gateway._caller_connection import CallerConnection
from trefoilpitch.platform._store import PlatformStore
from trefoilpitch.platform.tests.harness import (
    HOST,
    TIMEOUT_MS,
    Fleet,
    create_node,
    loop_time_s,
    node_settings,
    run,
    running_fleet,
    running_node,
    wait_until,
)
from trefoilpitch.platform.tests.test_whole_path import _get
from trefoilpitch.standins import WorkerFault, config_document, send

_MEMBER = "trefoilpitch/member/vm-2"


def _settings(name: str, incarnation: str = "start-1") -> NodeSettings:
    return dataclasses.replace(
        node_settings(name), incarnation=incarnation, grace_ms=8_000
    )


def _caller_address(settings: NodeSettings) -> bytes:
    return f"{settings.callers.host}:{settings.callers.port}".encode()


async def _registered(fleet: Fleet, incarnation: str) -> None:
    await wait_until(
        lambda: (
            (fleet.store.value(_MEMBER) or {}).get("incarnation") == incarnation
        )
    )


@contextlib.asynccontextmanager
async def _hanging_request(
    fleet: Fleet, settings: NodeSettings
) -> AsyncIterator[None]:
    """Keeps a daemon from exiting before the end of its grace period."""
    worker = fleet.workers["plain-0"]
    runs = len(worker.runs)
    worker.faults.append(WorkerFault.HANG)
    fleet.settings = settings
    with await fleet.open_connection() as connection:
        send(connection, "/once/x", X_Trefoilpitch_Deadline_Ms="9000")
        await wait_until(lambda: len(worker.runs) > runs)
        yield


@contextlib.asynccontextmanager
async def _silent_store() -> AsyncIterator[PlatformStore]:
    """Runs a store that accepts calls but never responds."""
    server = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        address = ListenAddress(host=HOST, port=port)
        yield PlatformStore(address, lambda name: None)


def test_leaving_daemon_still_lists_the_other_daemons_to_callers() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            settings = dataclasses.replace(
                node_settings("vm-2"), grace_ms=8_000
            )
            assert fleet.settings is not None
            other = f"{HOST}:{fleet.settings.callers.port}".encode()
            async with running_node(settings, fleet.store) as node:
                await wait_until(lambda: len(node.caller_addresses()) == 2)
                await wait_until(
                    lambda: len(fleet.daemon.caller_addresses()) == 2
                )
                # Keeps it from exiting before its grace period ends.
                worker = fleet.workers["plain-0"]
                worker.faults.append(WorkerFault.HANG)
                fleet.settings = settings
                with await fleet.open_connection() as connection:
                    send(
                        connection, "/once/x", X_Trefoilpitch_Deadline_Ms="9000"
                    )
                    await wait_until(lambda: worker.runs)
                    node.leave()
                    # It exits 7.5 s after the signal.
                    end_s = loop_time_s() + 6.5
                    while loop_time_s() < end_s:
                        await asyncio.sleep(0.5)
                        status, body = await _get(
                            settings.directory.port,
                            "/trefoilpitch/resolve?name=a",
                        )
                        assert status == 200
                        assert other in body

    run(scenario)


def test_request_that_waits_for_an_upstream_is_answered_at_exit() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            worker = fleet.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            with await fleet.open_connection() as connection:
                send(connection, "/plain/x", X_Trefoilpitch_Deadline_Ms="9000")
                await wait_until(lambda: worker.runs)
                fleet.daemon.leave()
                head = await connection.receive_head(TIMEOUT_MS)
                assert head.status in (502, 504)

    run(scenario)


def test_daemons_that_leave_together_list_only_those_that_stay() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            staying = fleet.settings
            assert staying is not None
            leaving = [_settings("vm-2"), _settings("vm-3")]
            async with contextlib.AsyncExitStack() as stack:
                nodes = [
                    await stack.enter_async_context(
                        running_node(settings, fleet.store)
                    )
                    for settings in leaving
                ]
                await wait_until(
                    lambda: all(
                        len(node.caller_addresses()) == 3
                        for node in (fleet.daemon, *nodes)
                    )
                )
                for node, settings in zip(nodes, leaving, strict=True):
                    await stack.enter_async_context(
                        _hanging_request(fleet, settings)
                    )
                    node.leave()
                    await asyncio.sleep(0.3)
                end_s = loop_time_s() + 5
                while loop_time_s() < end_s:
                    for settings in (staying, *leaving):
                        status, body = await _get(
                            settings.directory.port,
                            "/trefoilpitch/resolve?name=a",
                        )
                        assert status == 200
                        assert _caller_address(staying) in body
                        for gone in leaving:
                            assert _caller_address(gone) not in body
                    for settings in leaving:
                        status, _ = await _get(
                            settings.readiness.port, "/trefoilpitch/readiness"
                        )
                        assert status == 503
                    await asyncio.sleep(0.4)

    run(scenario)


def test_entry_of_a_leaving_daemon_stays_until_it_exits() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            node = create_node(_settings("vm-2"), fleet.store)
            task = asyncio.create_task(node.run())
            await _registered(fleet, "start-1")
            await wait_until(lambda: node.ready)
            node.leave()
            await asyncio.sleep(1)
            assert fleet.store.keys(_MEMBER)
            await task
            assert not fleet.store.keys(_MEMBER)

    run(scenario)


def test_late_withdrawal_keeps_the_entry_of_the_next_start() -> None:
    async def scenario() -> None:
        async with (
            running_fleet() as fleet,
            contextlib.AsyncExitStack() as stack,
        ):
            old = await stack.enter_async_context(
                running_node(_settings("vm-2"), fleet.store)
            )
            await _registered(fleet, "start-1")
            await stack.enter_async_context(
                running_node(_settings("vm-2", "start-2"), fleet.store)
            )
            await _registered(fleet, "start-2")
            await old._registration.withdraw()
            await _registered(fleet, "start-2")

    run(scenario)


def test_end_of_the_lease_of_a_killed_daemon_keeps_the_next_entry() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            async with running_node(_settings("vm-2"), fleet.store) as killed:
                await wait_until(lambda: killed._registration._lease_id)
                old_lease = killed._registration._lease_id
            assert fleet.store.keys(_MEMBER)
            settings = _settings("vm-2", "start-2")
            async with running_node(settings, fleet.store) as node:
                await wait_until(lambda: node._registration._lease_id)
                fleet.store.end_lease(old_lease)
                await _registered(fleet, "start-2")
                await wait_until(lambda: len(node.caller_addresses()) == 2)

    run(scenario)


def test_daemon_exits_in_time_while_the_store_does_not_respond() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            settings = dataclasses.replace(_settings("vm-2"), grace_ms=4_000)
            node = create_node(settings, fleet.store)
            task = asyncio.create_task(node.run())
            await wait_until(lambda: node.ready)
            await wait_until(lambda: node._registration._lease_id)
            async with (
                _hanging_request(fleet, settings),
                _silent_store() as silent,
            ):
                silent._era = node._registration._lease_era
                node._registration._store = silent
                started_s = loop_time_s()
                node.leave()
                await task
                assert loop_time_s() - started_s < settings.grace_ms / 1_000
            assert fleet.store.keys(_MEMBER)

    run(scenario)


def test_requests_that_wait_for_a_place_are_refused_at_exit() -> None:
    async def scenario() -> None:
        routes = config_document()["routes"]
        for route in routes:
            # Requests wait for a place for an eighth of it.
            route["target-latency-ms"] = 64_000
        async with running_fleet(routes=routes) as fleet:
            worker = fleet.workers["plain-0"]
            fleet.register(worker, "plain-service", slots=1)
            view = fleet.daemon.view
            await wait_until(lambda: view.upstreams["plain-0"].entry.slots == 1)
            worker.faults.extend([WorkerFault.HANG] * 20)
            waiter = fleet.daemon._waiter

            async def call(number: int) -> tuple[str, int]:
                request_id = f"id-{number}"
                head, _ = await fleet.send_request(
                    "/once/x", request_id=request_id
                )
                assert head.header(b"connection") == "close"
                return request_id, head.status

            calls = [asyncio.create_task(call(n)) for n in range(12)]
            await wait_until(
                lambda: (
                    len(worker.runs) + waiter.waiting().get("plain-service", 0)
                    == 12
                )
            )
            assert 0 < len(worker.runs) < 12
            fleet.daemon.leave()
            statuses = dict(await asyncio.gather(*calls))
            ran = {executed.request_id for executed in worker.runs}
            assert statuses == {
                f"id-{n}": 502 if f"id-{n}" in ran else 503 for n in range(12)
            }

    run(scenario)


def test_request_that_arrives_just_before_the_exit_is_refused() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            fleet.daemon._request_handler.stop()
            head, _ = await fleet.send_request("/plain/x")
            assert head.status == 503
            assert head.header(b"retry-after") is not None
            assert not fleet.workers["plain-0"].runs

    run(scenario)


def test_response_in_progress_goes_on_while_others_are_ended() -> None:
    async def scenario() -> None:
        async with running_fleet(models=1) as fleet:
            worker = fleet.workers["model-0"]
            worker.event_delay_ms = 100
            with await fleet.open_connection() as connection:
                send(connection, "/stream/x", X_Trefoilpitch_Model="*")
                head = await connection.receive_head(TIMEOUT_MS)
                assert head.status == 200
                fleet.daemon._request_handler.stop()
                body = await connection.receive_body(TIMEOUT_MS, 1 << 20)
            assert body.count(b"id:") == worker.events

    run(scenario)


def test_response_that_has_just_arrived_is_delivered_at_exit() -> None:
    opened: list[HttpConnection] = []

    async def recorded_connect(
        host: str, port: int, timeout_ms: float
    ) -> HttpConnection:
        opened.append(await connect(host, port, timeout_ms))
        return opened[-1]

    async def scenario() -> None:
        async with running_fleet() as fleet:
            worker = fleet.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            fleet.daemon._links._open_connection = recorded_connect
            call = asyncio.create_task(fleet.send_request("/once/x"))
            await wait_until(lambda: worker.runs)
            # The task that waits for the response has not run in between.
            opened[-1].data_received(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                b"X-Trefoilpitch-Request-Attempt-Id: id-1\r\n"
                b"X-Trefoilpitch-Response-Seal: seal\r\n\r\nok"
            )
            fleet.daemon._request_handler.stop()
            head, body = await call
            assert (head.status, body) == (200, b"ok")

    run(scenario)


def test_failure_of_an_upstream_is_delivered_at_exit() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=2) as fleet:
            workers = fleet.workers.values()
            # The second attempt gets no response.
            faults = deque([WorkerFault.ERROR, WorkerFault.HANG])
            for worker in workers:
                worker.faults = faults
            call = asyncio.create_task(fleet.send_request("/plain/x"))
            await wait_until(lambda: sum(len(w.runs) for w in workers) == 2)
            fleet.daemon._request_handler.stop()
            head, _ = await call
            assert head.status == 500

    run(scenario)


def test_request_whose_caller_leaves_at_the_exit_gets_no_response() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            worker = fleet.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            state = fleet.daemon._caller_server.state
            with await fleet.open_connection() as connection:
                send(connection, "/plain/x")
                await wait_until(lambda: worker.runs)
                (server_side,) = state.connections
                assert isinstance(server_side, CallerConnection)
                assert server_side._task is not None
                server_side._task.cancel()
                fleet.daemon._request_handler.stop()
                with pytest.raises(ExchangeError):
                    await connection.receive_head(TIMEOUT_MS)
            await wait_until(lambda: not state.active)
            await wait_until(lambda: worker.abandoned == 1)

    run(scenario)


def test_request_that_is_complete_3_s_after_the_signal_is_refused() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            settings = _settings("vm-2")
            async with running_node(settings, fleet.store) as node:
                await wait_until(lambda: node.ready)
                worker = fleet.workers["plain-0"]
                async with _hanging_request(fleet, settings):
                    reader, writer = await asyncio.open_connection(
                        settings.callers.host, settings.callers.port
                    )
                    writer.write(
                        b"POST /plain/x HTTP/1.1\r\nHost: api.example\r\n"
                        b"X-Trefoilpitch-Request-Attempt-Id: id-2\r\n"
                        b"Api-Key: key-a\r\nContent-Length: 2\r\n\r\na"
                    )
                    await asyncio.sleep(0.1)
                    node.leave()
                    await asyncio.sleep(3)
                    writer.write(b"b")
                    status = await reader.readline()
                    assert status.split()[1] == b"503"
                    writer.close()
                assert len(worker.runs) == 1

    run(scenario)


@pytest.mark.parametrize(
    "beginning",
    [
        b"POST /plain/x HTTP/1.1\r\nHost: api.exa",
        b"POST /plain/x HTTP/1.1\r\nHost: api.example\r\n"
        b"X-Trefoilpitch-Request-Attempt-Id: id-1\r\n"
        b"Api-Key: key-a\r\nContent-Length: 2\r\n\r\na",
    ],
    ids=["head", "body"],
)
def test_request_that_is_incomplete_at_the_exit_is_refused(
    beginning: bytes,
) -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            node = create_node(_settings("vm-2"), fleet.store)
            callers = node._settings.callers
            task = asyncio.create_task(node.run())
            await wait_until(lambda: node.ready)
            reader, writer = await asyncio.open_connection(
                callers.host, callers.port
            )
            node.leave()
            await asyncio.sleep(2)
            writer.write(beginning)
            status = await reader.readline()
            assert status.split()[1:2] == [b"503"]
            writer.close()
            await task
            assert not fleet.workers["plain-0"].runs

    run(scenario)


def test_late_timers_do_not_let_requests_in_after_the_signal() -> None:
    """As when the process gets no processor time for a while."""

    async def scenario() -> None:
        async with running_fleet() as fleet:
            settings = _settings("vm-2")
            async with running_node(settings, fleet.store) as node:
                await wait_until(lambda: node.ready)
                fleet.settings = settings
                with await fleet.open_connection() as connection:
                    await wait_until(
                        lambda: node._caller_server.state.connections
                    )
                    node.leave()
                    send(connection, "/plain/x")
                    time.sleep(3.1)
                    head = await connection.receive_head(TIMEOUT_MS)
                    assert head.status == 503
                assert not fleet.workers["plain-0"].runs

    run(scenario)


def test_requests_late_in_the_grace_are_not_passed_on_and_none_is_cut() -> None:
    """On connections that their callers keep using, until the process ends."""

    async def scenario() -> None:
        routes = config_document()["routes"]
        for route in routes:
            route["timeout-ms"] = 20_000
        async with running_fleet(routes=routes) as fleet:
            settings = _settings("vm-2")
            fleet.settings = settings
            worker = fleet.workers["plain-0"]
            node = create_node(settings, fleet.store)
            task = asyncio.create_task(node.run())
            await wait_until(lambda: node.ready)
            worker.faults.append(WorkerFault.HANG)
            with await fleet.open_connection() as running:
                send(running, "/once/x", X_Trefoilpitch_Deadline_Ms="20000")
                await wait_until(lambda: worker.runs)
                kept = [await fleet.open_connection() for _ in range(4)]
                node.leave()
                left_s = loop_time_s()
                for late_s, connection in zip(
                    (2.9, 3.5, 5.0, 7.0), kept, strict=True
                ):
                    await asyncio.sleep(left_s + late_s - loop_time_s())
                    # It is closed without an answer, or the request refused.
                    with contextlib.suppress(ExchangeError), connection:
                        send(connection, "/once/x", request_id="late")
                        head = await connection.receive_head(TIMEOUT_MS)
                        assert head.status == 503
                # The one that may have run is answered, without a promise.
                head = await running.receive_head(TIMEOUT_MS)
                assert head.status == 502
            await task
            assert len(worker.runs) == 1

    run(scenario)
