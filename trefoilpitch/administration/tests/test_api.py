import pathlib
import threading
from typing import Any

import pytest
from returns.result import Result

from trefoilpitch.administration.tests.fleet import (
    Fleet,
    change,
    decode,
    with_status,
)
from trefoilpitch.store import Listing, StoreError

_EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
ARCHIVE = (_EXAMPLES / "archive.toml").read_text()
DOMAIN_OUT = change("failure-domain", name="suva", in_service=False)


def _signed_off() -> Fleet:
    fleet = Fleet()
    body = change("sign-off", bundle=ARCHIVE) | {"change_id": "first"}
    with_status(fleet.send("POST", "/v1/changes", body), 200)
    return fleet


@pytest.mark.parametrize("token", ["", "other", "operator\u00e9"])
def test_requests_without_the_token_are_refused(token: str) -> None:
    fleet = _signed_off()
    for method, path in (("GET", "/v1/dump"), ("POST", "/v1/changes")):
        response = fleet.send(method, path, DOMAIN_OUT, token=token)
        assert response.status == 401
    assert fleet.configuration.revision == 1


@pytest.mark.parametrize(
    "fields",
    [
        {"change_id": ""},
        {"change_id": "two words"},
        {"change_id": "x" * 129},
        {"author": ""},
        {"author": "mere\x1b[2J"},
        {"author": "x" * 129},
        {"expected_revision": -1},
        {"kind": "no-such-kind"},
        {"surplus": 1},
    ],
)
def test_malformed_changes_are_refused(fields: dict[str, Any]) -> None:
    fleet = _signed_off()
    response = fleet.send("POST", "/v1/changes", DOMAIN_OUT | fields)
    assert with_status(response, 400)["code"] == "malformed-change"
    assert fleet.configuration.revision == 1


def test_a_dry_run_does_not_use_the_store() -> None:
    fleet = _signed_off()
    fleet.store.set_down(True)
    response = fleet.send("POST", "/v1/dry-run", DOMAIN_OUT)
    assert with_status(response, 200) == {"revision": 1}
    fleet.store.set_down(False)
    fleet.catch_up()
    assert fleet.configuration.revision == 1


@pytest.mark.parametrize(
    ("fields", "status", "code"),
    [
        ({"name": "no-such"}, 422, "unknown-name"),
        ({"in_service": True}, 422, "no-effect"),
        ({"expected_revision": 0}, 409, "conflict"),
    ],
)
@pytest.mark.parametrize("path", ["/v1/dry-run", "/v1/changes"])
def test_a_dry_run_and_a_change_are_refused_alike(
    path: str, fields: dict[str, Any], status: int, code: str
) -> None:
    response = _signed_off().send("POST", path, DOMAIN_OUT | fields)
    assert with_status(response, status)["code"] == code


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"name": "entry-2"}, 200),
        ({"name": "small-suva"}, 200),
        ({"name": "entry-9"}, 422),
        ({"name": "entry-9", "allow_unknown": True}, 200),
    ],
)
def test_an_unknown_vm_is_not_taken_out_of_service(
    fields: dict[str, Any], status: int
) -> None:
    body = change("vm", in_service=False) | fields
    assert _signed_off().send("POST", "/v1/changes", body).status == status


def test_a_change_retried_after_a_lost_response_is_applied_once() -> None:
    fleet = _signed_off()
    fleet.store.lose_replies(100)
    first = fleet.send("POST", "/v1/changes", DOMAIN_OUT)
    assert first.status in (503, 504)
    fleet.store.lose_replies(0)
    again = with_status(fleet.send("POST", "/v1/changes", DOMAIN_OUT), 200)
    assert again["revision"] == 2
    history = decode(fleet.send("GET", "/v1/history"))["changes"]
    assert [line["change_id"] for line in history] == ["first", "c-1"]


def test_the_status_stays_available_while_the_store_hangs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = _signed_off()
    entered = threading.Semaphore(0)
    resumed = threading.Event()
    list_page = fleet.store.list_page

    def hang(
        prefix: str, after: str, limit: int
    ) -> Result[Listing, StoreError]:
        entered.release()
        resumed.wait()
        return list_page(prefix, after, limit)

    monkeypatch.setattr(fleet.store, "list_page", hang)
    threads = [
        threading.Thread(target=fleet.send, args=("GET", "/v1/ledger"))
        for _ in range(2)
    ]
    try:
        for thread in threads:
            thread.start()
            assert entered.acquire(timeout=30)
        refused = fleet.send("POST", "/v1/changes", DOMAIN_OUT)
        assert with_status(refused, 503)["code"] == "busy"
        for path in ("/v1/status", "/v1/dump", "/metrics"):
            assert fleet.send("GET", path).status == 200
    finally:
        resumed.set()
        for thread in threads:
            thread.join()
    assert fleet.send("POST", "/v1/changes", DOMAIN_OUT).status == 200
