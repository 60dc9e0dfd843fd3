from __future__ import annotations

import itertools

import pytest

from tests.endtoend.fleet import DOMAINS, Fleet, post

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
def test_call_whose_reply_is_lost_runs_once_and_stays_unknown(
    fleet: Fleet, home: str | None, kind: str
) -> None:
    key = _key(fleet, home)
    before = fleet.loans()
    post(
        fleet.worker("b"),
        "/standin/faults",
        {"kind": kind, "path": "/create-loan"},
    )
    replies = [fleet.lend(letter, key) for letter in ("a", *DOMAINS)]
    assert fleet.loans() == before + 1
    outcomes = [reply.json()["outcome"] for reply in replies]
    assert outcomes == ["unknown"] * len(replies)
    assert all(reply.status >= 500 for reply in replies)


def test_call_that_failed_at_the_service_runs_once(fleet: Fleet) -> None:
    key = _key(fleet, "b")
    before = fleet.loans()
    post(
        fleet.worker("b"),
        "/standin/faults",
        {"kind": "error_status", "path": "/create-loan"},
    )
    replies = [fleet.lend(letter, key) for letter in ("b", *DOMAINS)]
    assert fleet.loans() == before + 1
    outcomes = {reply.json()["outcome"] for reply in replies}
    assert "not_run" not in outcomes


@pytest.mark.parametrize("home", ["a", None], ids=["homed", "foreign"])
def test_repeat_anywhere_gets_the_first_answer(
    fleet: Fleet, home: str | None
) -> None:
    key = _key(fleet, home)
    before = fleet.loans()
    query = "?tape=7&parish=Nadi%20town"
    replies = [fleet.lend(letter, key, query) for letter in ("a", *DOMAINS)]
    assert fleet.loans() == before + 1
    assert {reply.status for reply in replies} == {200}
    assert len({reply.body for reply in replies}) == 1
    requests = {reply.headers["Request-Id"] for reply in replies}
    fleet.wait_for_bills(requests)
    assert len(requests) == 1


@pytest.mark.parametrize("home", ["a", None], ids=["homed", "foreign"])
def test_other_content_under_a_used_key_is_refused(
    fleet: Fleet, home: str | None
) -> None:
    key = _key(fleet, home)
    before = fleet.loans()
    assert fleet.lend("b", key).status == 200
    for letter in DOMAINS:
        reply = fleet.lend(letter, key, "?tape=8")
        assert reply.status == 422
        assert reply.json()["code"] == "key-reused"
    assert fleet.loans() == before + 1
