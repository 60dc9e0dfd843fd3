import pytest
from returns.result import Result

from trefoilpitch.cli import ExitStatus
from trefoilpitch.cli.tests.operator import Operator, signed_off
from trefoilpitch.ledger import (
    LEDGER_PREFIX,
    Bill,
    BillLine,
    encode_segment,
)
from trefoilpitch.store import ABSENT, Listing, StoreError

_REQUESTS = 100
_WORKSPACES = 3
# 101 segments at 16 segments a page.
_PAGES = 7


def _bill(number: int, cost_nano: int = 5) -> Bill:
    line = BillLine(
        item="small@1",
        upstream="engine-1",
        prompt_tokens=1,
        output_tokens=2,
        cost_nano=cost_nano,
    )
    return Bill(
        request_id=f"r{number:03d}",
        workspace=f"w{number % _WORKSPACES}",
        subject="tag",
        ended_ms=number,
        lines=(line,),
    )


def _write(operator: Operator, key: str, *bills: Bill) -> None:
    payload = encode_segment(bills)
    store = operator.fleet.store
    store.put_if(f"{LEDGER_PREFIX}{key}", payload, ABSENT).unwrap()


def test_duplicate_bills_are_counted_once() -> None:
    operator = signed_off()
    for number in range(_REQUESTS):
        _write(operator, f"n1/{number:09d}", _bill(number))
    # The copies that a peer wrote are on other pages than the originals.
    _write(operator, "z9/000000000", *map(_bill, range(_REQUESTS)))
    reads = operator.fleet.store.counters.reads
    totals_document = operator.run("ledger", "--format=json").json()
    totals = [
        (one["requests"], one["cost_nano"]) for one in totals_document["totals"]
    ]
    assert totals == [(34, 170), (33, 165), (33, 165)]
    assert operator.fleet.store.counters.reads - reads == _PAGES
    bills = operator.run("ledger", "--workspace=w1", "--format=json").json()
    assert [one["request_id"] for one in bills["bills"]][:2] == ["r001", "r004"]


def test_pages_that_do_not_advance_fail_the_command(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    operator = signed_off()
    for number in range(_REQUESTS):
        _write(operator, f"n1/{number:09d}", _bill(number))
    store = operator.fleet.store
    first_page = store.list_page

    def ignore_position(
        prefix: str, after: str, limit: int
    ) -> Result[Listing, StoreError]:
        del after
        return first_page(prefix, "", limit)

    monkeypatch.setattr(store, "list_page", ignore_position)
    completed = operator.run("ledger")
    assert completed.status is ExitStatus.FAILED
    assert "pages do not advance" in completed.err
