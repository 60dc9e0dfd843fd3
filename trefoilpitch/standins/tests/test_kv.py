from __future__ import annotations

import base64

import pytest
import urllib3

from trefoilpitch.standins import kv_server
from trefoilpitch.store import ABSENT


def _base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def test_responses_have_the_documented_etcd_format() -> None:
    """Checks the raw JSON: the store client and the stand-in share a codec."""
    with kv_server() as server:
        base = f"http://{server.host}:{server.port}"
        http = urllib3.PoolManager(retries=False)
        compare = {
            "key": _base64("foo"),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": "0",
        }
        put = {"key": _base64("foo"), "value": _base64("bar")}
        txn = {
            "compare": [compare],
            "success": [{"request_put": put}],
            "failure": [{"request_range": {"key": _base64("foo")}}],
        }
        committed = http.request("POST", f"{base}/v3/kv/txn", json=txn).json()
        assert committed == {"header": {"revision": "1"}, "succeeded": True}
        conflict = http.request("POST", f"{base}/v3/kv/txn", json=txn).json()
        current = conflict["responses"][0]["response_range"]["kvs"]
        assert "succeeded" not in conflict
        assert current == [{"key": _base64("foo"), "mod_revision": "1"}]
        read = {"key": _base64("foo"), "range_end": _base64("fop")}
        listing = http.request("POST", f"{base}/v3/kv/range", json=read).json()
        assert listing == {
            "header": {"revision": "1"},
            "kvs": [{**put, "mod_revision": "1"}],
            "count": "1",
        }


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("/v3/kv/range", b"not JSON", 400),
        ("/v3/kv/unheard-of", b"{}", 404),
        ("/v3/lease/revoke", b'{"ID":"7"}', 404),
        ("/standin/faults", b'{"down":7}', 400),
    ],
)
def test_invalid_calls_are_refused(path: str, body: bytes, status: int) -> None:
    with kv_server() as server:
        url = f"http://{server.host}:{server.port}{path}"
        http = urllib3.PoolManager(retries=False)
        assert http.request("POST", url, body=body).status == status


def test_control_endpoint_injects_faults() -> None:
    with kv_server() as server:
        url = f"http://{server.host}:{server.port}/standin/faults"
        http = urllib3.PoolManager(retries=False)
        http.request("POST", url, json={"lose_replies": 1, "stale_reads": 1})
        server.store.put_if("a", b"", ABSENT)
        assert server.store.get("a").unwrap() is None
        counters = http.request("GET", url).json()
        assert (counters["outcome_unknown"], counters["writes"]) == (1, 1)


def test_byte_count_excludes_control_calls() -> None:
    with kv_server() as server:
        base = f"http://{server.host}:{server.port}"
        http = urllib3.PoolManager(retries=False)
        body = b'{"key":"Zm9v"}'
        response = http.request("POST", f"{base}/v3/kv/range", body=body)
        for _ in range(2):
            counters = http.request("GET", f"{base}/standin/faults").json()
            assert counters["bytes"] == len(body) + len(response.data)
