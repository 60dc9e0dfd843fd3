import urllib.error
import urllib.request

import pytest

from trefoilpitch.standins import (
    EngineSettings,
    EngineStandIn,
    RatingSettings,
    RatingStandIn,
    ServiceSettings,
    ServiceStandIn,
    open_engine_stand_in,
    open_rating_stand_in,
    open_service_stand_in,
)


@pytest.mark.parametrize("data", [b'{"typo": 1}', b'{"%s": "many"}', b"["])
@pytest.mark.parametrize(
    ("kind", "name", "value"),
    [
        ("engine", "capacity", 3),
        ("service", "call_ms", 3),
        ("rating", "delay_ms", 3),
    ],
)
def test_settings_update_over_http_and_invalid_ones_change_nothing(
    kind: str, name: str, value: int, data: bytes
) -> None:
    engine = open_engine_stand_in(EngineSettings())
    service = open_service_stand_in(ServiceSettings())
    rating = open_rating_stand_in(RatingSettings())
    with engine, service, rating:
        stand_ins: dict[str, EngineStandIn | ServiceStandIn | RatingStandIn] = {
            "engine": engine,
            "service": service,
            "rating": rating,
        }
        stand_in = stand_ins[kind]
        url = f"http://{stand_in.address}/standin/settings"
        good = f'{{"{name}": {value}}}'.encode()
        urllib.request.urlopen(url, data=good).close()
        with pytest.raises(urllib.error.HTTPError, match="400"):
            urllib.request.urlopen(url, data=data.replace(b"%s", name.encode()))
        assert getattr(stand_in.settings, name) == value
