"""The path of requests through a daemon, with stand-ins on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import pytest

from trefoilpitch.fleet import Member
from trefoilpitch.gateway import ExchangeError, connect
from trefoilpitch.gateway._peers import watches_store
from trefoilpitch.platform._documents import PlatformDocuments
from trefoilpitch.platform.tests.fleet import (
    HOST,
    PATIENCE_MS,
    Fleet,
    eventually,
    fleet,
    node_settings,
    running_node,
)
from trefoilpitch.standins import (
    PlatformStoreStandin,
    PlatformWorkerStandin,
    WorkerFault,
    config_document,
    send,
)

_ID = b"x-trefoilpitch-request-attempt-id"
_SEAL = b"x-trefoilpitch-response-seal"


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(60):
            await scenario()

    asyncio.run(bounded())


def _fault(world: Fleet, *faults: WorkerFault) -> None:
    """Lets the next requests fail, whichever worker they reach."""
    for worker in world.workers.values():
        worker.faults.extend(faults)


def _runs(world: Fleet) -> int:
    return sum(len(worker.runs) for worker in world.workers.values())


def test_plain_request_is_forwarded_and_answered_unchanged() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            head, body = await world.ask(
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
            seen = world.workers["plain-0"].runs[0].headers
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
def test_what_no_configuration_allows_does_not_run(
    target: str, key: str, status: int
) -> None:
    async def scenario() -> None:
        async with fleet() as world:
            head, _ = await world.ask(target, Api_Key=key)
            assert head.status == status
            assert _runs(world) == 0

    run(scenario)


def test_configuration_is_followed_and_a_removed_key_is_refused() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            tenants = [{"name": "workspace-b", "api-keys": ["key-b"]}]
            world.store.put("op/config", config_document(2, tenants=tenants))
            view = world.running.view
            await eventually(
                lambda: view.configuration and view.configuration.version == 2
            )
            refused, _ = await world.ask("/plain/x")
            served, _ = await world.ask("/plain/x", Api_Key="key-b")
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
def test_idempotent_request_is_tried_again(fault: WorkerFault) -> None:
    async def scenario() -> None:
        async with fleet(plain=2) as world:
            first = world.workers["plain-0"]
            second = world.workers["plain-1"]
            first.faults.append(fault)
            second.faults.append(fault)
            # One of the two meets the fault, the other serves without one.
            head, body = await world.ask("/plain/x")
            used = first if not first.faults else second
            spare = second if used is first else first
            if fault is not WorkerFault.SHED and spare.faults:
                raise AssertionError("the second try did not go elsewhere")
            assert head.status in (200, 500, 502, 503)
            spare.faults.clear()
            used.faults.clear()
            head, body = await world.ask("/plain/x", request_id="id-2")
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
def test_request_that_may_not_be_repeated_runs_once(
    fault: WorkerFault, status: int
) -> None:
    async def scenario() -> None:
        async with fleet(plain=3) as world:
            _fault(world, fault)
            head, _ = await world.ask("/once/x")
            assert head.status == status
            assert _runs(world) == 1
            if fault is not WorkerFault.ERROR:
                assert head.header(_SEAL) is None

    run(scenario)


def test_request_that_was_not_run_goes_elsewhere_even_if_not_repeatable() -> (
    None
):
    async def scenario() -> None:
        async with fleet(plain=2) as world:
            world.workers["plain-0"].faults.append(WorkerFault.SHED)
            world.workers["plain-1"].faults.append(WorkerFault.SHED)
            head, _ = await world.ask("/once/x")
            assert head.status == 200
            assert _runs(world) == 1

    run(scenario)


def test_refusal_is_true_and_says_when_to_come_back() -> None:
    async def scenario() -> None:
        async with fleet(plain=0) as world:
            head, _ = await world.ask("/once/x")
            assert head.status == 503
            assert float(head.header(b"retry-after") or "") > 0

    run(scenario)


def test_address_of_another_worker_is_noticed() -> None:
    async def scenario() -> None:
        async with fleet(plain=1) as world:
            worker = world.workers["plain-0"]
            entry = worker.entry("plain-service")
            world.store.remove("servers/plain-0")
            world.store.put("servers/plain-9", entry)
            await eventually(lambda: "plain-9" in world.running.view.upstreams)
            head, _ = await world.ask("/once/x")
            assert head.status == 503
            assert not worker.runs

    run(scenario)


def test_unframed_body_that_ends_cleanly_is_whole() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            _fault(world, WorkerFault.UNFRAMED)
            head, body = await world.ask("/plain/x")
            assert head.status == 200
            assert body == b"plain-0 POST /plain/x "

    run(scenario)


def _events(first: int, last: int) -> bytes:
    return b"".join(
        f"id: {number}\ndata: id-1-{number}\n\n".encode()
        for number in range(first, last + 1)
    )


def test_stream_is_forwarded_whole() -> None:
    async def scenario() -> None:
        async with fleet(plain=0, models=1) as world:
            head, body = await world.ask("/stream/x", X_Trefoilpitch_Model="*")
            assert head.status == 200
            assert body == _events(1, 5)

    run(scenario)


def test_broken_stream_goes_on_at_another_worker_without_a_torn_event() -> None:
    async def scenario() -> None:
        async with fleet(plain=0, models=2) as world:
            for worker in world.workers.values():
                worker.faults.append(WorkerFault.CUT)
            head, body = await world.ask("/stream/x", X_Trefoilpitch_Model="*")
            assert body == _events(1, 5)
            runs = [r for w in world.workers.values() for r in w.runs]
            assert len(runs) == 3
            resumed = [r for r in runs if "last-event-id" in r.headers]
            assert len(resumed) == 2
            first = next(
                w
                for w in world.workers.values()
                if any("last-event-id" not in r.headers for r in w.runs)
            )
            assert head.header(_SEAL) == f"seal-{first.worker_id}"

    run(scenario)


def test_stream_that_can_go_on_nowhere_does_not_look_complete() -> None:
    async def scenario() -> None:
        async with fleet(plain=0, models=1) as world:
            _fault(world, *[WorkerFault.CUT] * 3)
            with pytest.raises(ExchangeError):
                await world.ask("/stream/x", X_Trefoilpitch_Model="*")

    run(scenario)


def test_failure_in_place_of_a_streams_rest_is_never_sent_on() -> None:
    async def scenario() -> None:
        async with fleet(plain=0, models=1) as world:
            _fault(world, WorkerFault.CUT, WorkerFault.MISSING)
            _, body = await world.ask("/stream/x", X_Trefoilpitch_Model="*")
            assert body == _events(1, 5)

    run(scenario)


def test_callers_resume_position_is_passed_on() -> None:
    async def scenario() -> None:
        async with fleet(plain=0, models=1) as world:
            _, body = await world.ask(
                "/stream/x", X_Trefoilpitch_Model="*", Last_Event_Id="3"
            )
            assert body == _events(4, 5)

    run(scenario)


@pytest.mark.parametrize(
    ("confidence", "models"), [(95, ["small"]), (5, ["small", "large"])]
)
def test_unsure_answer_is_asked_again_of_the_largest_model(
    confidence: int, models: list[str]
) -> None:
    async def scenario() -> None:
        async with fleet(plain=0, models=1) as world:
            worker = world.workers["model-0"]
            worker.confidence = {"small": confidence, "large": 90}
            _, body = await world.ask(
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
        async with fleet(plain=0, models=1) as world:
            head, _ = await world.ask("/stream/x", X_Trefoilpitch_Model="large")
            assert head.status == 421
            assert _runs(world) == 0

    run(scenario)


def test_caller_that_leaves_ends_the_work() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            worker = world.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            with await world.open() as connection:
                send(connection, "/once/x")
                await eventually(lambda: worker.runs)
            await eventually(lambda: worker.abandoned)

    run(scenario)


def test_late_answer_of_a_closed_try_never_reaches_another_request() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            worker = world.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            with await world.open() as connection:
                send(connection, "/once/x", request_id="left")
                await eventually(lambda: worker.runs)
            worker.release.set()
            for number in range(5):
                head, _ = await world.ask("/plain/x", request_id=f"id-{number}")
                assert head.header(_ID) == f"id-{number}"

    run(scenario)


def test_connection_is_kept_for_further_requests() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            with await world.open() as connection:
                for number in range(3):
                    send(connection, "/plain/x", request_id=f"id-{number}")
                    head = await connection.receive_head(PATIENCE_MS)
                    assert head.header(_ID) == f"id-{number}"
                    await connection.receive_body(PATIENCE_MS, 1_000)
                    assert connection.reusable

    run(scenario)


def test_caller_that_sends_far_ahead_is_read_no_further() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            worker = world.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            reader, writer = await asyncio.open_connection(
                world.callers.host, world.callers.port
            )
            lines = (
                "POST /plain/x HTTP/1.1\r\nHost: api.example\r\n"
                "X-Trefoilpitch-Request-Attempt-Id: id\r\n"
                "Api-Key: key-a\r\nContent-Length: 9000\r\n\r\n"
            )
            request = lines.encode() + b"x" * 9_000
            writer.write(request * 500)
            await eventually(lambda: worker.runs)
            (connection,) = world.running._caller_server.state.connections
            await eventually(lambda: connection._paused)
            kept = len(connection._h11.trailing_data[0])
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
def test_what_is_no_request_is_refused_and_never_runs(
    raw: bytes, status: bytes
) -> None:
    async def scenario() -> None:
        async with fleet() as world:
            reader, writer = await asyncio.open_connection(
                world.callers.host, world.callers.port
            )
            writer.write(raw)
            line = await reader.readline()
            assert line.split()[1] == status
            writer.close()
            assert _runs(world) == 0

    run(scenario)


def test_chunked_body_arrives_whole() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            reader, writer = await asyncio.open_connection(
                world.callers.host, world.callers.port
            )
            writer.write(
                b"POST /plain/x HTTP/1.1\r\nHost: api.example\r\n"
                b"X-Trefoilpitch-Request-Attempt-Id: id-1\r\n"
                b"Api-Key: key-a\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
            )
            assert b"200" in await reader.readline()
            writer.close()
            assert world.workers["plain-0"].runs[0].body == b"abcdefg"

    run(scenario)


def test_store_that_answers_nonsense_ends_nothing() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            world.store.answer_with = {"unexpected": True}
            world.store.put("op/config", config_document(5))
            await asyncio.sleep(0.3)
            world.store.answer_with = None
            view = world.running.view
            await eventually(
                lambda: view.configuration and view.configuration.version == 5
            )
            head, _ = await world.ask("/plain/x")
            assert head.status == 200

    run(scenario)


def test_answer_to_head_has_no_body() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            assert world.settings is not None
            own = world.settings.directory
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


def test_draining_worker_gets_nothing_new() -> None:
    async def scenario() -> None:
        async with fleet(plain=2) as world:
            gone = world.workers["plain-0"]
            world.register(gone, "plain-service", state="draining")
            view = world.running.view
            await eventually(
                lambda: (
                    view.upstreams["plain-0"].entry.state.value == "draining"
                )
            )
            for number in range(10):
                await world.ask("/plain/x", request_id=f"id-{number}")
            assert not gone.runs

    run(scenario)


async def _get(port: int, target: str) -> tuple[int, bytes]:
    with await connect(HOST, port, PATIENCE_MS) as connection:
        connection.send(b"GET", target.encode(), [(b"Host", b"x")], b"")
        head = await connection.receive_head(PATIENCE_MS)
        body = await connection.receive_body(PATIENCE_MS, 1 << 20)
        return head.status, body


def test_readiness_and_directory_name_live_daemons_only() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            assert world.settings is not None
            own = world.settings
            status, _ = await _get(
                own.readiness.port, "/trefoilpitch/readiness"
            )
            assert status == 200
            other = node_settings("vm-2")
            async with running_node(other, world.store):
                await eventually(
                    lambda: len(world.running.caller_addresses()) == 2
                )
                status, body = await _get(
                    own.directory.port, "/trefoilpitch/resolve?name=a"
                )
                assert status == 200
                assert f"{HOST}:{other.callers.port}".encode() in body
            await eventually(lambda: len(world.running.caller_addresses()) == 1)

    run(scenario)


def test_counters_and_state_are_served_without_keys() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            assert world.settings is not None
            assert world.settings.metrics is not None
            port = world.settings.metrics.port
            await world.ask("/plain/x")
            _, metrics = await _get(port, "/metrics")
            assert b'requests_total{outcome="delivered"} 1' in metrics
            assert b"trefoilpitch_request_seconds" in metrics
            _, state = await _get(port, "/state")
            assert b'"plain-0"' in state
            assert b"key-a" not in state
            status, _ = await _get(port, "/other")
            assert status == 404

    run(scenario)


def test_daemon_that_knows_no_configuration_says_so() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            world.store.remove("op/config")
            settings = node_settings("vm-2")
            async with running_node(settings, world.store) as node:
                await eventually(lambda: "vm-2" in node.view.members)
                status, _ = await _get(
                    settings.readiness.port, "/trefoilpitch/readiness"
                )
                assert status == 503
                world.settings = settings
                head, _ = await world.ask("/plain/x")
                assert head.status == 503

    run(scenario)


def test_leaving_daemon_finishes_its_request_and_drops_out() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            assert world.settings is not None
            worker = world.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            with await world.open() as connection:
                send(connection, "/once/x")
                await eventually(lambda: worker.runs)
                world.running.leave()
                assert not world.running.ready
                assert world.running.caller_addresses() == []
                worker.release.set()
                head = await connection.receive_head(PATIENCE_MS)
                assert head.status == 200
                assert head.header(b"connection") == "close"
                await connection.receive_body(PATIENCE_MS, 1_000)

    run(scenario)


def test_daemon_whose_store_turns_it_away_learns_from_a_peer() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            settings = node_settings("vm-2")
            async with running_node(settings, world.store) as node:
                await eventually(lambda: node.ready)
                await eventually(
                    lambda: (
                        len(world.running.caller_addresses()) == 2
                        and len(node.caller_addresses()) == 2
                    )
                )
                # From here on the second daemon's watches fail.
                node._follower._store._address = (  # type: ignore[attr-defined]
                    node_settings("nobody").callers
                )
                watching = node._follower._store._watching  # type: ignore[attr-defined]
                if watching is not None:
                    watching.close()
                world.store.put("op/config", config_document(3))
                await eventually(
                    lambda: (
                        node.view.configuration
                        and node.view.configuration.version == 3
                    )
                )

    run(scenario)


def test_daemon_that_starts_while_the_store_is_away_asks_its_seeds() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            assert world.settings is not None
            world.store.refuse_with = 503
            settings = dataclasses.replace(
                node_settings("vm-2"), seeds=(world.settings.peers,)
            )
            async with running_node(settings, world.store) as node:
                await eventually(lambda: node.ready)
                world.settings = settings
                head, _ = await world.ask("/plain/x")
                assert head.status == 200

    run(scenario)


@pytest.mark.parametrize(
    ("store_away", "deadline_ms", "retry_after"),
    [(True, "10000", "3"), (True, "900", "0.3"), (False, "10000", "0.3")],
)
def test_caller_comes_back_when_a_configuration_may_be_known(
    store_away: bool, deadline_ms: str, retry_after: str
) -> None:
    # All daemons have been killed while the store is away: callers that come
    # back once must not do so before it returns.
    async def scenario() -> None:
        async with PlatformStoreStandin() as store:
            store.refuse_with = 503 if store_away else None
            settings = node_settings()
            async with running_node(settings, store):
                world = Fleet(store)
                world.settings = settings
                await eventually(lambda: store.calls)
                await asyncio.sleep(0.05)
                head, _ = await world.ask(
                    "/plain/x", X_Trefoilpitch_Deadline_Ms=deadline_ms
                )
            assert head.status == 503
            assert head.header(b"retry-after") == retry_after

    run(scenario)


def test_daemon_of_a_large_fleet_does_not_watch_before_it_knows_its_peers() -> (
    None
):
    # Many daemons start together; each would watch until it has heard others,
    # and every registration would wake all of these watches.
    async def scenario() -> None:
        async with PlatformStoreStandin() as store:
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
                await eventually(lambda: node.ready)
                await asyncio.sleep(0.3)
                assert store.calls.get("kv-watch", 0) == 0
                # None of the others is alive, as it turns out.
                await eventually(lambda: store.calls.get("kv-watch"))

    run(scenario)


def test_lost_history_is_made_good_by_a_listing() -> None:
    async def scenario() -> None:
        async with fleet() as world:
            view = world.running.view
            world.store.refuse_with = 503
            world.store.put("op/config", config_document(4))
            world.store.forget_history()
            world.store.refuse_with = None
            await eventually(
                lambda: view.configuration and view.configuration.version == 4
            )

    run(scenario)


def test_rollout_runs_from_order_to_status() -> None:
    async def scenario() -> None:
        new = PlatformWorkerStandin("plain-new")
        async with fleet(plain=1) as world, new as worker:
            world.register(worker, "plain-service", version="v2")
            order = {
                "service": "plain-service",
                "target": "v2",
                "duration-s": 2,
            }
            world.store.put("op/rollout/plain-service", order)
            key = "status/rollout/plain-service"
            await eventually(
                lambda: (
                    (world.store.value(key) or {}).get("state") == "completed"
                )
            )
            assert world.store.value(key)["target"] == "v2"
            before = len(world.workers["plain-0"].runs)
            for number in range(5):
                await world.ask("/plain/x", request_id=f"id-{number}")
            assert len(world.workers["plain-0"].runs) == before
            assert len(worker.runs) >= 5

    run(scenario)


def test_bad_version_is_rolled_back() -> None:
    async def scenario() -> None:
        new = PlatformWorkerStandin("plain-new")
        async with fleet(plain=1) as world, new as worker:
            world.register(worker, "plain-service", version="v2")
            worker.faults.extend([WorkerFault.ERROR] * 200)
            order = {
                "service": "plain-service",
                "target": "v2",
                "duration-s": 600,
            }
            world.store.put("op/rollout/plain-service", order)
            key = "status/rollout/plain-service"
            # Requests before the canary begins would not reach the target.
            await eventually(
                lambda: "plain-service" in world.running.view.records
            )
            for number in range(400):
                await world.ask("/plain/x", request_id=f"id-{number}")
                if len(worker.runs) >= 4:
                    break
            await eventually(
                lambda: (
                    (world.store.value(key) or {}).get("state") == "rolled_back"
                )
            )
            assert len(worker.runs) == 4

    run(scenario)
