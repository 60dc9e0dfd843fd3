import dataclasses

import pytest

from trefoilpitch.coldstart import ColdStartSettings
from trefoilpitch.coldstart._ledger import (
    Ledger,
    apply_report,
    available_credits,
    begin_tenure,
    is_warm,
)
from trefoilpitch.coldstart.tests.simulation import UPSTREAM

_SETTINGS = ColdStartSettings()
_LATER_MS = 60_000


def _reported(*, reported_warm: bool, successes: int) -> Ledger:
    ledger = begin_tenure(Ledger(), 0, _SETTINGS)
    for as_of_ms in (_LATER_MS, _LATER_MS + 1):
        ledger = apply_report(
            ledger,
            incarnation="1",
            running=0,
            reported_warm=reported_warm,
            as_of_ms=as_of_ms,
            settings=_SETTINGS,
        )
    return dataclasses.replace(ledger, successes=successes)


@pytest.mark.parametrize("successes", [0, 3, 1_000])
def test_limit_is_the_cold_capacity_until_the_upstream_reports_warm(
    successes: int,
) -> None:
    ledger = _reported(reported_warm=False, successes=successes)
    assert available_credits(ledger, UPSTREAM) == UPSTREAM.cold_capacity
    assert not is_warm(ledger, UPSTREAM)


def test_ramp_begins_when_the_upstream_reports_warm() -> None:
    ledger = _reported(reported_warm=True, successes=UPSTREAM.cold_capacity)
    assert available_credits(ledger, UPSTREAM) == 2 * UPSTREAM.cold_capacity
    ledger = _reported(reported_warm=True, successes=1_000)
    assert is_warm(ledger, UPSTREAM)
