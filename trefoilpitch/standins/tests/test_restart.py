import http.client
import time
import urllib.request

import pytest

from trefoilpitch.standins import EngineSettings, open_engine_stand_in
from trefoilpitch.standins._http_server import StandInServer


def test_connections_after_the_response_to_a_restart_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    drop_connections = StandInServer.drop_connections

    def drop_late(server: StandInServer, *kept: object) -> None:
        time.sleep(0.2)
        drop_connections(server, *kept)  # type: ignore[arg-type]

    with open_engine_stand_in(EngineSettings()) as engine:
        monkeypatch.setattr(StandInServer, "drop_connections", drop_late)
        url = f"http://{engine.address}/standin/restart"
        urllib.request.urlopen(url, data=b"{}").close()
        connection = http.client.HTTPConnection(engine.address, timeout=10)
        connection.connect()
        time.sleep(0.4)
        connection.request("GET", "/v1/load")
        assert connection.getresponse().status == 200
        connection.close()
