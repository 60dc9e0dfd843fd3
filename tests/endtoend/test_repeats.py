from __future__ import annotations

import itertools

import pytest

from tests.endtoend.fleet import DOMAINS, Fleet, post_json

_numbers = itertools.count(1)


def _key(fleet: Fleet, home: str | None) -> str:
    number = next(_numbers)
    if home is None:
        return f"callers-own-{number}"
    return f"{fleet.key_prefix(home)}{number}"


@pytest.mark.parametrize(
    ("home", "kind"),
    [
        ("a", "drop_reply"),
        ("a", "short_body"),
        ("a", "crossed"),
        (None, "drop_reply"),
    ],
)
def test_call_with_lost_response_runs_once_and_outcome_stays_unknown(
    fleet: Fleet, home: str | None, kind: str
) -> None:
    key = _key(fleet, home)
    before = fleet.loans()
    post_json(
        fleet.worker_address("b"),
        "/standin/faults",
        {"kind": kind, "path": "/create-loan"},
    )
    responses = [fleet.create_loan(letter, key) for letter in ("a", *DOMAINS)]
    assert fleet.loans() == before + 1
    outcomes = [response.json()["outcome"] for response in responses]
    assert outcomes == ["unknown"] * len(responses)
    assert all(response.status >= 500 for response in responses)


def test_call_with_service_error_runs_once(fleet: Fleet) -> None:
    key = _key(fleet, "b")
    before = fleet.loans()
    post_json(
        fleet.worker_address("b"),
        "/standin/faults",
        {"kind": "error_status", "path": "/create-loan"},
    )
    responses = [fleet.create_loan(letter, key) for letter in ("b", *DOMAINS)]
    assert fleet.loans() == before + 1
    outcomes = {response.json()["outcome"] for response in responses}
    assert "not_run" not in outcomes


@pytest.mark.parametrize("home", ["a", None], ids=["homed", "foreign"])
def test_repeat_at_any_daemon_gets_the_first_response(
    fleet: Fleet, home: str | None
) -> None:
    key = _key(fleet, home)
    before = fleet.loans()
    query = "?tape=7&parish=Nadi%20town"
    responses = [
        fleet.create_loan(letter, key, query) for letter in ("a", *DOMAINS)
    ]
    assert fleet.loans() == before + 1
    assert {response.status for response in responses} == {200}
    assert len({response.body for response in responses}) == 1
    request_ids = {response.headers["Request-Id"] for response in responses}
    fleet.wait_for_bills(request_ids)
    assert len(request_ids) == 1


@pytest.mark.parametrize("home", ["a", None], ids=["homed", "foreign"])
def test_used_key_with_other_content_is_refused(
    fleet: Fleet, home: str | None
) -> None:
    key = _key(fleet, home)
    before = fleet.loans()
    assert fleet.create_loan("b", key).status == 200
    for letter in DOMAINS:
        response = fleet.create_loan(letter, key, "?tape=8")
        assert response.status == 422
        assert response.json()["code"] == "key-reused"
    assert fleet.loans() == before + 1
