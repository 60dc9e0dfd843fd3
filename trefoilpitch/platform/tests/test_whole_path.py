"""Requests through a daemon, with stand-ins of store and workers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import pytest

from trefoilpitch.fleet import Member
from trefoilpitch.gateway import ExchangeError, connect
from trefoilpitch.gateway._caller_connection import CallerConnection
from trefoilpitch.gateway._peers import watches_store
from trefoilpitch.platform._documents import PlatformDocuments
from trefoilpitch.platform.tests.harness import (
    HOST,
    TIMEOUT_MS,
    Fleet,
    node_settings,
    run,
    running_fleet,
    running_node,
    wait_until,
)
from trefoilpitch.standins import (
    PlatformStoreStandIn,
    PlatformWorkerStandIn,
    WorkerFault,
    WorkerRun,
    config_document,
    send,
)

_ID = b"x-trefoilpitch-request-attempt-id"
_SEAL = b"x-trefoilpitch-response-seal"


def _fault(fleet: Fleet, *faults: WorkerFault) -> None:
    """Makes the next requests fail at every worker."""
    for worker in fleet.workers.values():
        worker.faults.extend(faults)


def _runs(fleet: Fleet) -> int:
    return sum(len(worker.runs) for worker in fleet.workers.values())


def test_plain_request_and_its_response_are_forwarded_unchanged() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            head, body = await fleet.send_request(
                "/plain/x?q=%20a",
                body=b"payload",
                X_Other="kept",
                X_Trefoilpitch_Tenant="forged",
                X_Trefoilpitch_Hold="forged",
            )
            assert head.status == 200
            assert head.header(_SEAL) == "seal-plain-0"
            assert head.header(_ID) == "id-1"
            assert body == b"plain-0 POST /plain/x?q=%20a payload"
            seen = fleet.workers["plain-0"].runs[0].headers
            assert seen["x-other"] == "kept"
            assert seen["x-trefoilpitch-tenant"] == "workspace-a"
            assert seen["x-trefoilpitch-expect-instance"] == "plain-0"
            assert 0 < int(seen["x-trefoilpitch-deadline-ms"]) <= 8_000
            assert "api-key" not in seen
            assert "x-trefoilpitch-hold" not in seen

    run(scenario)


@pytest.mark.parametrize(
    ("target", "key", "status"),
    [
        ("/plain/x", "unknown", 401),
        ("/plain/x", "", 401),
        ("/nowhere/x", "key-a", 404),
    ],
)
def test_request_that_the_configuration_does_not_allow_is_rejected(
    target: str, key: str, status: int
) -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            head, _ = await fleet.send_request(target, Api_Key=key)
            assert head.status == status
            assert _runs(fleet) == 0

    run(scenario)


def test_new_configuration_applies_and_a_removed_key_is_rejected() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            tenants = [{"name": "workspace-b", "api-keys": ["key-b"]}]
            fleet.store.put("op/config", config_document(2, tenants=tenants))
            view = fleet.daemon.view
            await wait_until(
                lambda: view.configuration and view.configuration.version == 2
            )
            refused, _ = await fleet.send_request("/plain/x")
            served, _ = await fleet.send_request("/plain/x", Api_Key="key-b")
            assert (refused.status, served.status) == (401, 200)

    run(scenario)


@pytest.mark.parametrize(
    "fault",
    [
        WorkerFault.SHED,
        WorkerFault.ERROR,
        WorkerFault.LOST,
        WorkerFault.CROSSED,
        WorkerFault.CUT,
        WorkerFault.UNSEALED,
    ],
)
def test_idempotent_request_is_retried(fault: WorkerFault) -> None:
    async def scenario() -> None:
        async with running_fleet(plain=2) as fleet:
            first = fleet.workers["plain-0"]
            second = fleet.workers["plain-1"]
            first.faults.append(fault)
            second.faults.append(fault)
            # The first attempt meets the fault at one worker, its retry at the
            # other.
            head, body = await fleet.send_request("/plain/x")
            used = first if not first.faults else second
            spare = second if used is first else first
            if fault is not WorkerFault.SHED and spare.faults:
                raise AssertionError("the retry did not go to the other worker")
            assert head.status in (200, 500, 502, 503)
            spare.faults.clear()
            used.faults.clear()
            head, body = await fleet.send_request("/plain/x", request_id="id-2")
            assert head.status == 200
            assert head.header(_ID) == "id-2"
            assert body.split()[1:] == [b"POST", b"/plain/x"]

    run(scenario)


@pytest.mark.parametrize(
    ("fault", "status"),
    [
        (WorkerFault.LOST, 502),
        (WorkerFault.CROSSED, 502),
        (WorkerFault.CUT, 502),
        (WorkerFault.UNSEALED, 502),
        (WorkerFault.UNSEALED_CREATED, 502),
        (WorkerFault.ERROR, 500),
    ],
)
def test_non_idempotent_request_runs_once(
    fault: WorkerFault, status: int
) -> None:
    async def scenario() -> None:
        async with running_fleet(plain=3) as fleet:
            _fault(fleet, fault)
            head, _ = await fleet.send_request("/once/x")
            assert head.status == status
            assert _runs(fleet) == 1
            if fault is not WorkerFault.ERROR:
                assert head.header(_SEAL) is None

    run(scenario)


def test_non_idempotent_request_that_did_not_run_is_retried_elsewhere() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=2) as fleet:
            fleet.workers["plain-0"].faults.append(WorkerFault.SHED)
            fleet.workers["plain-1"].faults.append(WorkerFault.SHED)
            head, _ = await fleet.send_request("/once/x")
            assert head.status == 200
            assert _runs(fleet) == 1

    run(scenario)


def test_refusal_without_upstreams_has_a_retry_after_header() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0) as fleet:
            head, _ = await fleet.send_request("/once/x")
            assert head.status == 503
            assert float(head.header(b"retry-after") or "") > 0

    run(scenario)


def test_request_to_the_address_of_another_worker_does_not_run() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=1) as fleet:
            worker = fleet.workers["plain-0"]
            entry = worker.entry("plain-service")
            fleet.store.remove("servers/plain-0")
            fleet.store.put("servers/plain-9", entry)
            await wait_until(lambda: "plain-9" in fleet.daemon.view.upstreams)
            head, _ = await fleet.send_request("/once/x")
            assert head.status == 503
            assert not worker.runs

    run(scenario)


def test_response_body_without_framing_that_ends_cleanly_is_complete() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            _fault(fleet, WorkerFault.UNFRAMED)
            head, body = await fleet.send_request("/plain/x")
            assert head.status == 200
            assert body == b"plain-0 POST /plain/x "

    run(scenario)


def _events(first: int, last: int) -> bytes:
    return b"".join(
        f"id: {number}\ndata: id-1-{number}\n\n".encode()
        for number in range(first, last + 1)
    )


def test_stream_is_forwarded_completely() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=1) as fleet:
            head, body = await fleet.send_request(
                "/stream/x", X_Trefoilpitch_Model="*"
            )
            assert head.status == 200
            assert body == _events(1, 5)

    run(scenario)


def test_truncated_stream_resumes_elsewhere_without_a_partial_event() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=2) as fleet:
            for worker in fleet.workers.values():
                worker.faults.append(WorkerFault.CUT)
            head, body = await fleet.send_request(
                "/stream/x", X_Trefoilpitch_Model="*"
            )
            assert body == _events(1, 5)
            runs = [r for w in fleet.workers.values() for r in w.runs]
            assert len(runs) == 3
            resumed = [r for r in runs if "last-event-id" in r.headers]
            assert len(resumed) == 2
            first = next(
                w
                for w in fleet.workers.values()
                if any("last-event-id" not in r.headers for r in w.runs)
            )
            assert head.header(_SEAL) == f"seal-{first.worker_id}"

    run(scenario)


def test_stream_broken_off_after_its_last_event_is_complete() -> None:
    """The worker that resumes it has no event to add, which is no failure."""

    async def scenario() -> None:
        async with running_fleet(plain=0, models=3) as fleet:
            for worker in fleet.workers.values():
                worker.faults.append(WorkerFault.CUT_AT_END)
            first = True

            def end_properly(run: WorkerRun) -> None:
                nonlocal first
                if first:
                    for worker in fleet.workers.values():
                        worker.faults.clear()
                first = False

            for worker in fleet.workers.values():
                worker.on_run = end_properly
            head, body = await fleet.send_request(
                "/stream/x", X_Trefoilpitch_Model="*"
            )
            assert head.status == 200
            assert body == _events(1, 5)
            runs = [r for w in fleet.workers.values() for r in w.runs]
            assert len(runs) == 2

    run(scenario)


def test_stream_without_any_event_is_a_failure() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=1) as fleet:
            for worker in fleet.workers.values():
                worker.events = 0
            head, _ = await fleet.send_request(
                "/stream/x", X_Trefoilpitch_Model="*"
            )
            assert head.status == 502

    run(scenario)


def test_stream_that_cannot_be_resumed_does_not_look_complete() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=1) as fleet:
            _fault(fleet, *[WorkerFault.CUT] * 3)
            with pytest.raises(ExchangeError):
                await fleet.send_request("/stream/x", X_Trefoilpitch_Model="*")

    run(scenario)


def test_error_response_to_a_resumed_stream_is_not_forwarded() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=1) as fleet:
            _fault(fleet, WorkerFault.CUT, WorkerFault.MISSING)
            _, body = await fleet.send_request(
                "/stream/x", X_Trefoilpitch_Model="*"
            )
            assert body == _events(1, 5)

    run(scenario)


def test_last_event_id_of_the_caller_is_forwarded() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=1) as fleet:
            _, body = await fleet.send_request(
                "/stream/x", X_Trefoilpitch_Model="*", Last_Event_Id="3"
            )
            assert body == _events(4, 5)

    run(scenario)


@pytest.mark.parametrize(
    ("confidence", "models"), [(95, ["small"]), (5, ["small", "large"])]
)
def test_low_confidence_response_is_replaced_by_the_largest_model(
    confidence: int, models: list[str]
) -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=1) as fleet:
            worker = fleet.workers["model-0"]
            worker.confidence = {"small": confidence, "large": 90}
            _, body = await fleet.send_request(
                "/stream/x",
                X_Trefoilpitch_Model="*",
                X_Trefoilpitch_Token_Counts="100,300",
            )
            assert body == _events(1, 5)
            seen = [r.headers["x-trefoilpitch-model"] for r in worker.runs]
            assert seen == models

    run(scenario)


def test_named_model_of_a_route_with_tiers_is_refused() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=1) as fleet:
            head, _ = await fleet.send_request(
                "/stream/x", X_Trefoilpitch_Model="large"
            )
            assert head.status == 421
            assert _runs(fleet) == 0

    run(scenario)


def test_disconnected_caller_cancels_the_upstream_request() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            worker = fleet.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            with await fleet.open_connection() as connection:
                send(connection, "/once/x")
                await wait_until(lambda: worker.runs)
            await wait_until(lambda: worker.abandoned)

    run(scenario)


def test_late_response_of_an_abandoned_attempt_reaches_no_other_request() -> (
    None
):
    async def scenario() -> None:
        async with running_fleet() as fleet:
            worker = fleet.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            with await fleet.open_connection() as connection:
                send(connection, "/once/x", request_id="left")
                await wait_until(lambda: worker.runs)
            worker.release.set()
            for number in range(5):
                head, _ = await fleet.send_request(
                    "/plain/x", request_id=f"id-{number}"
                )
                assert head.header(_ID) == f"id-{number}"

    run(scenario)


def test_caller_connection_is_reused() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            with await fleet.open_connection() as connection:
                for number in range(3):
                    send(connection, "/plain/x", request_id=f"id-{number}")
                    head = await connection.receive_head(TIMEOUT_MS)
                    assert head.header(_ID) == f"id-{number}"
                    await connection.receive_body(TIMEOUT_MS, 1_000)
                    assert connection.reusable

    run(scenario)


def test_pipelined_requests_are_subject_to_backpressure() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            worker = fleet.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            reader, writer = await asyncio.open_connection(
                fleet.callers.host, fleet.callers.port
            )
            lines = (
                "POST /plain/x HTTP/1.1\r\nHost: api.example\r\n"
                "X-Trefoilpitch-Request-Attempt-Id: id\r\n"
                "Api-Key: key-a\r\nContent-Length: 9000\r\n\r\n"
            )
            request = lines.encode() + b"x" * 9_000
            writer.write(request * 500)
            await wait_until(lambda: worker.runs)
            (connection,) = fleet.daemon._caller_server.state.connections
            assert isinstance(connection, CallerConnection)
            await wait_until(lambda: connection._paused)
            kept = len(connection._h11.trailing_data[0])
            kept += len(connection._pipelined)
            assert kept < 1_000_000
            worker.release.set()
            for _ in range(20):
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(9_000 + len("plain-0 POST /plain/x "))
            writer.close()

    run(scenario)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"POST /plain/x HTTP/1.1\r\n\r\n", b"400"),
        (b"GARBAGE\r\n\r\n", b"400"),
        (
            b"POST /plain/x HTTP/1.1\r\nHost: api.example\r\n"
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /plain/smuggled HTTP/1.1\r\n\r\n",
            b"400",
        ),
        (
            b"POST /plain/x HTTP/1.1\r\nHost: api.example\r\n"
            b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
            b"400",
        ),
        (
            b"GET /plain/x HTTP/1.1\r\nHost: api.example\r\n"
            b"X-Long: " + b"x" * 9_000 + b"\r\n\r\n",
            b"431",
        ),
        (
            b"POST /plain/x HTTP/1.1\r\nHost: api.example\r\n"
            b"Content-Length: 20000\r\n\r\n" + b"x" * 20_000,
            b"413",
        ),
    ],
)
def test_malformed_request_is_refused_and_never_runs(
    raw: bytes, status: bytes
) -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            reader, writer = await asyncio.open_connection(
                fleet.callers.host, fleet.callers.port
            )
            writer.write(raw)
            line = await reader.readline()
            assert line.split()[1] == status
            writer.close()
            assert _runs(fleet) == 0

    run(scenario)


def test_chunked_request_body_is_forwarded_completely() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            reader, writer = await asyncio.open_connection(
                fleet.callers.host, fleet.callers.port
            )
            writer.write(
                b"POST /plain/x HTTP/1.1\r\nHost: api.example\r\n"
                b"X-Trefoilpitch-Request-Attempt-Id: id-1\r\n"
                b"Api-Key: key-a\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
            )
            assert b"200" in await reader.readline()
            writer.close()
            assert fleet.workers["plain-0"].runs[0].body == b"abcdefg"

    run(scenario)


def test_daemon_survives_malformed_responses_of_the_store() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            fleet.store.response_override = {"unexpected": True}
            fleet.store.put("op/config", config_document(5))
            await asyncio.sleep(0.3)
            fleet.store.response_override = None
            view = fleet.daemon.view
            await wait_until(
                lambda: view.configuration and view.configuration.version == 5
            )
            head, _ = await fleet.send_request("/plain/x")
            assert head.status == 200

    run(scenario)


def test_response_to_a_head_request_has_no_body() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            assert fleet.settings is not None
            own = fleet.settings.directory
            reader, writer = await asyncio.open_connection(own.host, own.port)
            target = b"/trefoilpitch/resolve?name=a HTTP/1.1\r\nHost: x\r\n\r\n"
            writer.write(b"HEAD " + target)
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head
            writer.write(b"GET " + target)
            line = await reader.readline()
            assert line.startswith(b"HTTP/1.1 200")
            writer.close()

    run(scenario)


def test_draining_worker_gets_no_new_requests() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=2) as fleet:
            draining = fleet.workers["plain-0"]
            fleet.register(draining, "plain-service", state="draining")
            view = fleet.daemon.view
            await wait_until(
                lambda: (
                    view.upstreams["plain-0"].entry.state.value == "draining"
                )
            )
            for number in range(10):
                await fleet.send_request("/plain/x", request_id=f"id-{number}")
            assert not draining.runs

    run(scenario)


async def _get(port: int, target: str) -> tuple[int, bytes]:
    with await connect(HOST, port, TIMEOUT_MS) as connection:
        connection.send(b"GET", target.encode(), [(b"Host", b"x")], b"")
        head = await connection.receive_head(TIMEOUT_MS)
        body = await connection.receive_body(TIMEOUT_MS, 1 << 20)
        return head.status, body


def test_live_daemons_are_ready_and_listed_in_the_directory() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            assert fleet.settings is not None
            own = fleet.settings
            status, _ = await _get(
                own.readiness.port, "/trefoilpitch/readiness"
            )
            assert status == 200
            other = node_settings("vm-2")
            async with running_node(other, fleet.store):
                await wait_until(
                    lambda: len(fleet.daemon.caller_addresses()) == 2
                )
                status, body = await _get(
                    own.directory.port, "/trefoilpitch/resolve?name=a"
                )
                assert status == 200
                assert f"{HOST}:{other.callers.port}".encode() in body
            await wait_until(lambda: len(fleet.daemon.caller_addresses()) == 1)

    run(scenario)


def test_metrics_and_state_are_served_without_api_keys() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            assert fleet.settings is not None
            assert fleet.settings.metrics is not None
            port = fleet.settings.metrics.port
            await fleet.send_request("/plain/x")
            _, metrics = await _get(port, "/metrics")
            assert b'requests_total{outcome="delivered"} 1' in metrics
            assert b"trefoilpitch_request_seconds" in metrics
            _, state = await _get(port, "/state")
            assert b'"plain-0"' in state
            assert b"key-a" not in state
            status, _ = await _get(port, "/other")
            assert status == 404

    run(scenario)


def test_daemon_without_a_configuration_is_not_ready() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            fleet.store.remove("op/config")
            settings = node_settings("vm-2")
            async with running_node(settings, fleet.store) as node:
                await wait_until(lambda: "vm-2" in node.view.members)
                status, _ = await _get(
                    settings.readiness.port, "/trefoilpitch/readiness"
                )
                assert status == 503
                fleet.settings = settings
                head, _ = await fleet.send_request("/plain/x")
                assert head.status == 503

    run(scenario)


def test_leaving_daemon_completes_its_request_and_leaves_the_directory() -> (
    None
):
    async def scenario() -> None:
        async with running_fleet() as fleet:
            assert fleet.settings is not None
            worker = fleet.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            with await fleet.open_connection() as connection:
                send(connection, "/once/x")
                await wait_until(lambda: worker.runs)
                fleet.daemon.leave()
                assert not fleet.daemon.ready
                assert fleet.daemon.caller_addresses() == []
                worker.release.set()
                head = await connection.receive_head(TIMEOUT_MS)
                assert head.status == 200
                assert head.header(b"connection") == "close"
                await connection.receive_body(TIMEOUT_MS, 1_000)

    run(scenario)


def test_daemon_that_cannot_reach_the_store_follows_a_peer() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            settings = node_settings("vm-2")
            async with running_node(settings, fleet.store) as node:
                await wait_until(lambda: node.ready)
                await wait_until(
                    lambda: (
                        len(fleet.daemon.caller_addresses()) == 2
                        and len(node.caller_addresses()) == 2
                    )
                )
                # From here on the second daemon can't reach the store.
                node._follower._store._address = (  # type: ignore[attr-defined]
                    node_settings("nobody").callers
                )
                watch_connection = node._follower._store._watch_connection  # type: ignore[attr-defined]
                if watch_connection is not None:
                    watch_connection.close()
                fleet.store.put("op/config", config_document(3))
                await wait_until(
                    lambda: (
                        node.view.configuration
                        and node.view.configuration.version == 3
                    )
                )

    run(scenario)


def test_daemon_that_starts_in_a_store_outage_loads_from_its_seeds() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            assert fleet.settings is not None
            fleet.store.refusal_status = 503
            settings = dataclasses.replace(
                node_settings("vm-2"), seeds=(fleet.settings.peers,)
            )
            async with running_node(settings, fleet.store) as node:
                await wait_until(lambda: node.ready)
                fleet.settings = settings
                head, _ = await fleet.send_request("/plain/x")
                assert head.status == 200

    run(scenario)


@pytest.mark.parametrize(
    ("store_unavailable", "deadline_ms", "retry_after"),
    [(True, "10000", "3"), (True, "900", "0.3"), (False, "10000", "0.3")],
)
def test_retry_after_depends_on_whether_the_store_is_available(
    store_unavailable: bool, deadline_ms: str, retry_after: str
) -> None:
    # After all daemons are killed in a store outage, a caller that retries only
    # once must not do so before the store is available again.
    async def scenario() -> None:
        async with PlatformStoreStandIn() as store:
            store.refusal_status = 503 if store_unavailable else None
            settings = node_settings()
            async with running_node(settings, store):
                fleet = Fleet(store, contextlib.AsyncExitStack())
                fleet.settings = settings
                await wait_until(lambda: store.calls)
                await asyncio.sleep(0.05)
                head, _ = await fleet.send_request(
                    "/plain/x", X_Trefoilpitch_Deadline_Ms=deadline_ms
                )
            assert head.status == 503
            assert head.header(b"retry-after") == retry_after

    run(scenario)


def test_daemon_of_a_large_fleet_does_not_watch_before_it_finds_its_peers() -> (
    None
):
    # When many daemons start together, each would watch the store until it
    # receives heartbeats of others, and every registration would wake all of
    # these watches.
    async def scenario() -> None:
        async with PlatformStoreStandIn() as store:
            store.put("op/config", config_document())
            names = [f"vm-{number}" for number in range(40)]
            for name in names:
                member = Member(
                    name=name,
                    incarnation="before",
                    caller_address=f"{HOST}:1",
                    peer_host=HOST,
                    peer_port=1,
                    heartbeat_port=1,
                    failure_domain="zone-a",
                )
                write = PlatformDocuments().encode_member(member, 0)
                store.put_bytes(write.key, write.value)
            own = next(n for n in names if not watches_store(n, names))
            async with running_node(node_settings(own), store) as node:
                await wait_until(lambda: node.ready)
                await asyncio.sleep(0.3)
                assert store.calls.get("kv-watch", 0) == 0
                # No other daemon is alive, so that it starts to watch.
                await wait_until(lambda: store.calls.get("kv-watch"))

    run(scenario)


def test_compacted_history_causes_a_resync() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            view = fleet.daemon.view
            fleet.store.refusal_status = 503
            fleet.store.put("op/config", config_document(4))
            fleet.store.discard_history()
            fleet.store.refusal_status = None
            await wait_until(
                lambda: view.configuration and view.configuration.version == 4
            )

    run(scenario)


def test_rollout_is_completed_after_an_order() -> None:
    async def scenario() -> None:
        new = PlatformWorkerStandIn("plain-new")
        async with running_fleet(plain=1) as fleet, new as worker:
            fleet.register(worker, "plain-service", version="v2")
            order = {
                "service": "plain-service",
                "target": "v2",
                "duration-s": 2,
            }
            fleet.store.put("op/rollout/plain-service", order)
            key = "status/rollout/plain-service"
            await wait_until(
                lambda: (
                    (fleet.store.value(key) or {}).get("state") == "completed"
                )
            )
            assert fleet.store.value(key)["target"] == "v2"
            before = len(fleet.workers["plain-0"].runs)
            for number in range(5):
                await fleet.send_request("/plain/x", request_id=f"id-{number}")
            assert len(fleet.workers["plain-0"].runs) == before
            assert len(worker.runs) >= 5

    run(scenario)


def test_bad_version_is_rolled_back() -> None:
    async def scenario() -> None:
        new = PlatformWorkerStandIn("plain-new")
        async with running_fleet(plain=1) as fleet, new as worker:
            fleet.register(worker, "plain-service", version="v2")
            worker.faults.extend([WorkerFault.ERROR] * 200)
            order = {
                "service": "plain-service",
                "target": "v2",
                "duration-s": 600,
            }
            fleet.store.put("op/rollout/plain-service", order)
            key = "status/rollout/plain-service"
            # Requests reach the target only from the canary phase on.
            await wait_until(
                lambda: "plain-service" in fleet.daemon.view.records
            )
            number = 0
            async with asyncio.timeout(TIMEOUT_MS / 1_000):
                # The target gets no requests while it is ejected.
                while len(worker.runs) < 4:
                    number += 1
                    await fleet.send_request(
                        "/plain/x", request_id=f"id-{number}"
                    )
                    await asyncio.sleep(0.002)
            await wait_until(
                lambda: (
                    (fleet.store.value(key) or {}).get("state") == "rolled_back"
                )
            )
            assert len(worker.runs) == 4

    run(scenario)
