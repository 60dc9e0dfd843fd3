import dataclasses

import pytest

from trefoilpitch.coldstart import ColdStartSettings
from trefoilpitch.coldstart._ledger import (
    Ledger,
    available_credits,
    begin_tenure,
    is_warm,
    take_report,
)
from trefoilpitch.coldstart.tests.world import UPSTREAM

_SETTINGS = ColdStartSettings()
_LATER_MS = 60_000


def _reported(*, reported_warm: bool, successes: int) -> Ledger:
    ledger = begin_tenure(Ledger(), 0, _SETTINGS)
    for as_of_ms in (_LATER_MS, _LATER_MS + 1):
        ledger = take_report(
            ledger,
            incarnation="1",
            running=0,
            reported_warm=reported_warm,
            as_of_ms=as_of_ms,
            settings=_SETTINGS,
        )
    return dataclasses.replace(ledger, successes=successes)


@pytest.mark.parametrize("successes", [0, 3, 1_000])
def test_an_upstream_that_says_it_is_cold_bears_its_cold_capacity(
    successes: int,
) -> None:
    ledger = _reported(reported_warm=False, successes=successes)
    assert available_credits(ledger, UPSTREAM) == UPSTREAM.cold_capacity
    assert not is_warm(ledger, UPSTREAM)


def test_the_ramp_begins_when_it_says_that_it_is_warm() -> None:
    ledger = _reported(reported_warm=True, successes=UPSTREAM.cold_capacity)
    assert available_credits(ledger, UPSTREAM) == 2 * UPSTREAM.cold_capacity
    ledger = _reported(reported_warm=True, successes=1_000)
    assert is_warm(ledger, UPSTREAM)
