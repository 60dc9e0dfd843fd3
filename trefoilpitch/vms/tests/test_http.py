from __future__ import annotations

from collections.abc import Iterator

import pytest
import urllib3
from returns.pipeline import is_successful
from returns.result import Success

from trefoilpitch.clock import ManualClock
from trefoilpitch.standins import VmListServer, vm_list_server
from trefoilpitch.vms import Vm, VmState, http_vm_list

_LIVE = Vm(name="e1", address="127.0.0.1:1", failure_domain="suva")
_LEAVING = Vm(
    name="e2",
    address="127.0.0.1:2",
    failure_domain="nadi",
    state=VmState.LEAVING,
)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def server(clock: ManualClock) -> Iterator[VmListServer]:
    with vm_list_server(clock=clock) as server:
        yield server


def test_changes_are_visible_after_the_lag(
    server: VmListServer, clock: ManualClock
) -> None:
    server.vms.set_lag_ms(1_000)
    with http_vm_list(server.host, server.port) as vms:
        server.vms.set_vms((_LIVE,))
        clock.advance(600)
        server.vms.set_vms((_LIVE, _LEAVING))
        results = [vms.read()]
        clock.advance(400)
        results.append(vms.read())
        clock.advance(600)
        results.append(vms.read())
    assert results == [
        Success(()),
        Success((_LIVE,)),
        Success((_LIVE, _LEAVING)),
    ]


def test_reads_fail_while_the_list_is_down(server: VmListServer) -> None:
    with http_vm_list(server.host, server.port) as vms:
        server.vms.set_down(True)
        assert not is_successful(vms.read())
        server.vms.set_down(False)
        assert is_successful(vms.read())


def test_control_endpoint_sets_list_and_faults(server: VmListServer) -> None:
    base = f"http://{server.host}:{server.port}"
    http = urllib3.PoolManager(retries=False)
    vm = {"name": "e1", "address": "127.0.0.1:1", "failure_domain": "suva"}
    http.request("PUT", f"{base}/v1/vms", json=[vm])
    assert server.vms.read() == Success((_LIVE,))
    response = http.request("GET", f"{base}/v1/vms").json()
    assert response == [{**vm, "state": "live"}]
    http.request("POST", f"{base}/standin/faults", json={"down": True})
    assert http.request("GET", f"{base}/v1/vms").status == 503
    invalid = http.request("PUT", f"{base}/v1/vms", json=[{"name": 1}])
    assert invalid.status == 400
