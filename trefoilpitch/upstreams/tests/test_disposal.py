from __future__ import annotations

import pytest

from trefoilpitch.upstreams._strict_connection import StrictConnection
from trefoilpitch.upstreams.tests.harness import wait_until
from trefoilpitch.upstreams.tests.raw_server import raw_server


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab",
    ],
)
def test_dispose_closes_a_connection_whose_response_is_referenced(
    response: bytes,
) -> None:
    with raw_server([response], hold=True) as server:
        host, _, port = server.address.rpartition(":")
        connection = StrictConnection(host, int(port))
        connection.request("GET", "/", preload_content=False)
        held = connection.getresponse()
        connection.dispose()
        server.release.set()
        wait_until(
            lambda: not any(worker.is_alive() for worker in server._workers)
        )
        assert held.status == 200
