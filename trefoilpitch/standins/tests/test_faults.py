import urllib.error
import urllib.request

import pytest

from trefoilpitch.standins import (
    EngineSettings,
    ServiceSettings,
    open_engine_stand_in,
    open_service_stand_in,
)
from trefoilpitch.standins._faults import Fault, FaultQueue


def test_fault_hits_as_many_requests_as_injected() -> None:
    queue = FaultQueue(["cut", "refuse"])
    queue.add(Fault(kind="cut", times=2, path="/loans"))
    assert queue.take("/loans", "refuse") is None
    assert queue.take("/catalogue", "cut") is None
    taken = [queue.take("/loans/7", "refuse", "cut") for _ in range(3)]
    assert [fault is not None for fault in taken] == [True, True, False]


def test_unsupported_fault_is_refused() -> None:
    with (
        open_engine_stand_in(EngineSettings()) as engine,
        open_service_stand_in(ServiceSettings()) as service,
    ):
        for stand_in in (engine, service):
            with pytest.raises(
                ValueError, match="unsupported kind of fault: 'typo'"
            ):
                stand_in.inject(Fault(kind="typo"))
            url = f"http://{stand_in.address}/standin/faults"
            with pytest.raises(urllib.error.HTTPError, match="400"):
                urllib.request.urlopen(url, data=b'{"kind": "typo"}')
