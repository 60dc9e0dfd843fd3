"""Decoding and encoding of the platform's settings, documents and headers."""

from __future__ import annotations

import contextlib
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpitch.fleet import (
    Configuration,
    Evacuation,
    MalformedDocumentError,
    Member,
    OperationKind,
    QuarantineRecord,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    UpstreamEntry,
)
from trefoilpitch.gateway import (
    BadRequestError,
    HttpRequest,
    ResponseHead,
    UpstreamAttempt,
)
from trefoilpitch.gateway._events import EventSplitter
from trefoilpitch.gateway._exceptions import PeerReplyError
from trefoilpitch.gateway._peers import PeerSocket, decode_batch
from trefoilpitch.platform._documents import PlatformDocuments
from trefoilpitch.platform._requests import PlatformRequests
from trefoilpitch.platform._settings import (
    PlatformSettingsError,
    parse_settings,
)
from trefoilpitch.standins import config_document

_SETTINGS = """
node = "front-a-1"
zone = "a"
region = "r"
ip = "10.1.0.40"
port-range = [7340, 7355]
unknown = "ignored"
seeds = ["10.2.0.29:8229"]
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
directory = "10.1.0.40:8224"
control = "10.1.0.40:8229"
[bounds]
grace-s = 8
config-apply-ms = 9000
retry-ratio = 0.9
retry-window-s = 10
retry-slack = 52
ttl_max_s = 5
[platform]
address = "10.200.1.7:8223"
"""


def test_settings_are_decoded() -> None:
    found = parse_settings(_SETTINGS, "start", "9464")
    assert found.node.failure_domain == "a"
    assert found.node.grace_ms == 8_000
    assert found.node.apply_ms == 9_000
    assert found.node.peers.port == 8_229
    assert found.node.heartbeats.port == 7_340
    assert [seed.host for seed in found.node.seeds] == ["10.2.0.29"]
    assert found.node.metrics is not None
    assert found.node.metrics.port == 9_464
    assert found.store.host == "10.200.1.7"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("x = ", "not TOML"),
        (
            _SETTINGS.replace('node = "front-a-1"', ""),
            "setting node is missing",
        ),
        (_SETTINGS.replace("10.1.0.40:8220", "nowhere"), "invalid value"),
        (_SETTINGS.replace("grace-s = 8", 'grace-s = "x"'), "invalid value"),
    ],
)
def test_invalid_settings_are_reported(text: str, message: str) -> None:
    with pytest.raises(PlatformSettingsError, match=message):
        parse_settings(text, "start")


def _decode(key: str, value: object) -> object:
    return PlatformDocuments().decode(key, json.dumps(value).encode())


def test_configuration_is_decoded() -> None:
    found = _decode("op/config", config_document(7))
    assert isinstance(found, Configuration)
    assert found.version == 7
    stream = found.match("api.example", "/stream/x")
    assert stream is not None
    assert stream.kind is OperationKind.STREAM
    assert stream.repeatable
    assert stream.model_tiers == ("small", "large")
    costs = found.services["model-service"].model_costs
    assert costs == (("small", 0.02), ("large", 0.2))
    assert found.limits.max_body_bytes == 10_000


@pytest.mark.parametrize(
    ("capacity", "tokens"),
    [
        (336_620, 336_620),
        (2.5e5, 250_000),
        (None, None),
        (0, None),
        (-5, None),
        (True, None),
        ("many", None),
        (1e300, None),
        ([1], None),
    ],
)
def test_malformed_token_memory_does_not_lose_the_configuration(
    capacity: object, tokens: int | None
) -> None:
    document = config_document()
    document["services"][0]["engine"] = {"slots": 16, "kv-capacity": capacity}
    found = _decode("op/config", document)
    assert isinstance(found, Configuration)
    name = document["services"][0]["name"]
    assert found.services[name].memory_tokens == tokens


def test_traffic_split_is_decoded() -> None:
    document = config_document()
    document["routes"][0]["traffic-split"] = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    found = _decode("op/config", document)
    assert isinstance(found, Configuration)
    shares = [(s.service, s.weight) for s in found.routes[0].services]
    assert shares == [("a", 90), ("b", 10)]


_SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 1500.0,
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "version": 1, "adapters": []}],
}


def test_upstream_entry_is_decoded() -> None:
    found = _decode("servers/i-1", _SERVER)
    assert isinstance(found, UpstreamEntry)
    assert found.upstream_id == "i-1"
    assert (found.host, found.port) == ("10.0.0.1", 80)
    assert found.cold_left_ms == 1_500
    assert found.models == ("m",)


@pytest.mark.parametrize(
    "value",
    [
        {},
        {**_SERVER, "state": "asleep"},
        {**_SERVER, "address": "nowhere"},
        {**_SERVER, "slots": "many"},
        {**_SERVER, "service": None},
        {**_SERVER, "address": "10.0.0.1:65536"},
        {**_SERVER, "slots": 0},
        [],
        7,
    ],
)
def test_malformed_upstream_entry_is_rejected(value: object) -> None:
    with pytest.raises(MalformedDocumentError):
        _decode("servers/i-1", value)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(
        ["op/config", "servers/i-1", "op/rollout/s", "trefoilpitch/member/x"]
    ),
    st.binary(max_size=60),
)
def test_any_bytes_are_decoded_or_rejected(key: str, value: bytes) -> None:
    with contextlib.suppress(MalformedDocumentError):
        PlatformDocuments().decode(key, value)


def test_order_of_endless_duration_is_rejected() -> None:
    order = {"service": "s", "target": "v2", "duration-s": 1e308}
    with pytest.raises(MalformedDocumentError):
        _decode("op/rollout/s", order)


@pytest.mark.parametrize("field", ["peer_port", "heartbeat_port"])
def test_daemon_at_an_impossible_port_is_rejected(field: str) -> None:
    """A heartbeat to it would end the loop that sends them."""
    member = {
        "incarnation": "a",
        "caller_address": "10.0.0.1:80",
        "peer_host": "10.0.0.1",
        "peer_port": 81,
        "heartbeat_port": 82,
        "failure_domain": "z",
    }
    assert _decode("trefoilpitch/member/vm", member) is not None
    with pytest.raises(MalformedDocumentError):
        _decode("trefoilpitch/member/vm", {**member, field: 70_000})


def test_orders_are_decoded_and_other_keys_are_not_followed() -> None:
    order = _decode(
        "op/rollout/s", {"service": "s", "target": "v2", "duration-s": 1.5}
    )
    assert order == RolloutOrder(service="s", target="v2", duration_ms=1_500)
    assert _decode("op/evacuate/a", {}) == Evacuation(failure_domain="a")
    assert _decode("status/rollout/s", {}) is None


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        (RolloutPhase.CANARY, "running"),
        (RolloutPhase.SHIFT, "running"),
        (RolloutPhase.COMPLETED, "completed"),
        (RolloutPhase.ROLLED_BACK, "rolled_back"),
    ],
)
def test_rollout_record_round_trips_and_has_a_status_for_operators(
    phase: RolloutPhase, state: str
) -> None:
    record = RolloutRecord(
        service="s", target="v2", order_revision=9, phase=phase, percent=20
    )
    codec = PlatformDocuments()
    stored, status = codec.encode_rollout(record)
    assert codec.decode(stored.key, stored.value) == record
    assert status.key == "status/rollout/s"
    assert json.loads(status.value)["state"] == state
    assert json.loads(status.value)["target"] == "v2"


def test_member_round_trips() -> None:
    member = Member(
        name="vm",
        incarnation="start",
        caller_address="10.0.0.1:80",
        peer_host="10.0.0.1",
        peer_port=8_229,
        heartbeat_port=7_340,
        failure_domain="a",
    )
    codec = PlatformDocuments()
    write = codec.encode_member(member, 7)
    assert write.lease_id == 7
    assert codec.decode(write.key, write.value) == member


def test_quarantine_round_trips() -> None:
    record = QuarantineRecord(
        name="5c1e07a2",
        traits=(7, 1 << 32),
        endings=((1, 1_700_000_000_000), (2, 1_700_000_001_000)),
    )
    codec = PlatformDocuments()
    write = codec.encode_quarantine(record, 7)
    assert write.lease_id == 7
    assert codec.decode(write.key, write.value) == record


@pytest.mark.parametrize(
    "fields",
    [
        {"traits": [], "endings": [[1, 2]]},
        {"traits": [7], "endings": []},
        {"traits": [7], "endings": [[1]]},
        {"traits": ["7"], "endings": [[1, 2]]},
        {"traits": [7]},
    ],
)
def test_malformed_quarantine_is_rejected(fields: dict[str, object]) -> None:
    with pytest.raises(MalformedDocumentError):
        _decode("trefoilpitch/quarantine/5c1e07a2", fields)


def _http(**headers: str) -> HttpRequest:
    values = {
        "Host": "API.example:8080",
        "X-Trefoilpitch-Request-Attempt-Id": "id",
    }
    values |= {name.replace("_", "-"): text for name, text in headers.items()}
    return HttpRequest(
        method=b"POST",
        target=b"/a/x?q",
        headers=tuple((n.encode(), v.encode()) for n, v in values.items()),
        body=b"body",
        arrived_ms=0,
    )


def test_request_is_decoded() -> None:
    found = PlatformRequests().decode_request(
        _http(
            X_Trefoilpitch_Token_Counts="1460,80",
            X_Trefoilpitch_Prompt_Prefix_Hash="5c:800,91:410",
            X_Trefoilpitch_Length_Hint="33.7",
            X_Trefoilpitch_Model="*",
            Session="s",
        )
    )
    assert (found.host, found.path) == ("api.example", "/a/x")
    assert (found.prompt_tokens, found.max_output_tokens) == (1_460, 80)
    assert found.expected_output_tokens == 33
    assert [part.tokens for part in found.prefix] == [800, 410]
    assert found.any_model
    assert found.session == "s"


@pytest.mark.parametrize("text", ["", "x", "1,y", ",", "1e400,2"])
def test_malformed_numbers_count_as_unknown(text: str) -> None:
    found = PlatformRequests().decode_request(
        _http(
            X_Trefoilpitch_Token_Counts=text,
            X_Trefoilpitch_Deadline_Ms=text,
        )
    )
    assert found.prompt_tokens in (0, 1)


def test_request_without_an_id_is_rejected() -> None:
    request = HttpRequest(
        method=b"GET", target=b"/", headers=(), body=b"", arrived_ms=0
    )
    with pytest.raises(BadRequestError):
        PlatformRequests().decode_request(request)


def _upstream_headers(**headers: str) -> dict[str, str]:
    codec = PlatformRequests()
    request = codec.decode_request(_http(**headers))
    entry = _decode("servers/i-1", _SERVER)
    assert isinstance(entry, UpstreamEntry)
    call = UpstreamAttempt(
        upstream=entry,
        remaining_ms=700,
        workspace="w",
        model="m2",
        priority=12,
        last_event_id=4,
    )
    return {
        name.decode().lower(): value.decode()
        for name, value in codec.encode_attempt(request, call)
    }


def test_reserved_headers_of_the_caller_do_not_reach_the_upstream() -> None:
    found = _upstream_headers(
        Api_Key="secret",
        X_Trefoilpitch_Tenant="forged",
        X_Trefoilpitch_Deadline_Ms="99999",
        X_Trefoilpitch_Model="*",
        Last_Event_Id="1",
        Kv_From="10.0.0.1:1/x",
        Kv_Fetch="10.0.0.1:1",
        X_Trefoilpitch_Pin_Ms="9",
        X_Trefoilpitch_Kv_Backup="10.0.0.1:1",
        X_Trefoilpitch_Expect_Version="v9",
    )
    assert found["x-trefoilpitch-tenant"] == "w"
    assert found["x-trefoilpitch-deadline-ms"] == "700"
    assert found["x-trefoilpitch-model"] == "m2"
    assert found["x-trefoilpitch-request-priority"] == "9"
    assert found["last-event-id"] == "4"
    assert found["content-length"] == "4"
    assert not {
        "api-key",
        "kv-from",
        "kv-fetch",
        "x-trefoilpitch-pin-ms",
        "x-trefoilpitch-kv-backup",
        "x-trefoilpitch-expect-version",
    } & set(found)


def test_connection_header_cannot_remove_the_request_id() -> None:
    found = _upstream_headers(
        Connection="close, X-Trefoilpitch-Request-Attempt-Id, X-Mine",
        X_Mine="1",
    )
    assert found["x-trefoilpitch-request-attempt-id"] == "id"
    assert "x-mine" not in found
    assert "connection" not in found


@pytest.mark.parametrize(
    ("headers", "matches"),
    [
        ({"x-trefoilpitch-request-attempt-id": "id"}, True),
        ({"x-trefoilpitch-request-attempt-id": "other"}, False),
        ({"x-trefoilpitch-response-seal": "seal"}, False),
        ({"x-trefoilpitch-not-executed": "1"}, True),
    ],
)
def test_response_to_another_request_is_detected(
    headers: dict[str, str], matches: bool
) -> None:
    codec = PlatformRequests()
    head = ResponseHead(
        status=200,
        headers=tuple((n.encode(), v.encode()) for n, v in headers.items()),
    )
    response = codec.decode_response(codec.decode_request(_http()), head)
    assert response.matches is matches


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(st.sampled_from(["a", "\n", "\r\n", "id: 7", "data: x", ":"])),
    st.integers(min_value=1, max_value=5),
)
def test_events_do_not_depend_on_chunk_boundaries(
    pieces: list[str], step: int
) -> None:
    data = "".join(pieces).encode() + b"\n\n"
    whole = EventSplitter()
    expected = b"".join(event.data for event in whole.feed(data))
    cut = EventSplitter()
    found = [
        event.data
        for start in range(0, len(data), step)
        for event in cut.feed(data[start : start + step])
    ]
    assert b"".join(found) + cut._buffer == data
    assert expected + whole._buffer == data


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=80))
def test_malformed_datagram_is_ignored(data: bytes) -> None:
    seen: list[object] = []
    PeerSocket(seen.append, seen.append).datagram_received(
        data, ("10.0.0.1", 1)
    )
    assert not seen


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=80))
def test_any_peer_reply_is_decoded_or_rejected(data: bytes) -> None:
    with contextlib.suppress(PeerReplyError):
        decode_batch(data)


@pytest.mark.parametrize(
    "key",
    ["servers/a", "op/config", "op/rollout/a", "trefoilpitch/member/a"],
)
def test_deeply_nested_document_is_malformed(key: str) -> None:
    """One entry of another writer must not stop a daemon from following."""
    with pytest.raises(MalformedDocumentError):
        PlatformDocuments().decode(key, b'{"a":' * 20_000)
