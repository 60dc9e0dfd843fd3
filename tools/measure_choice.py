"""Measures the processor time of one choice of an upstream.

Usage: ``python -m tools.measure_choice``
"""

from __future__ import annotations

import dataclasses
import json
import random
import statistics
import time
from collections.abc import Sequence

from absl import app

from tools.results import format_table
from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import FleetView, Item, ItemBatch
from trefoilpitch.gateway import (
    CallerRequest,
    HttpRequest,
    LoadReport,
    PrefixPart,
)
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.platform._documents import PlatformDocuments

_ENGINES = 70
_MEMBERS = 83
_CHOICES = 400
_ROUNDS = 15
_US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceTime:
    """Time of a choice in microseconds."""

    request: str
    # Whether upstreams report their speed, so that costs count.
    speeds: bool
    median_us: float
    fastest_us: float


def _view() -> FleetView:
    view = FleetView(PlatformDocuments(), lambda change: None)
    items = []
    for number in range(_ENGINES):
        entry = {
            "service": "engines",
            "address": f"10.0.0.{number}:80",
            "zone": "abc"[number % 3],
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "models": [{"name": "m"}],
        }
        key = f"servers/engine-{number}"
        value = json.dumps(entry).encode()
        items.append(Item(key=key, value=value, revision=number + 1))
    view.apply(ItemBatch(items=tuple(items), revision=_ENGINES + 1), 0)
    return view


def _request(number: int, *, prefix: bool) -> CallerRequest:
    parts: tuple[PrefixPart, ...] = ()
    if prefix:
        shared = PrefixPart(part_id=f"part-{number % 40}", tokens=4_000)
        parts = (shared, PrefixPart(part_id=f"own-{number}", tokens=100))
    http = HttpRequest(
        method=b"POST", target=b"/x", headers=(), body=b"", arrived_ms=0
    )
    return CallerRequest(
        http=http,
        request_id=str(number),
        host="h",
        path="/x",
        api_key=None,
        wait_ms=None,
        model="m",
        prompt_tokens=4_100 if prefix else 200,
        expected_output_tokens=100,
        prefix=parts,
    )


def _finish_some(
    dispatcher: Dispatcher, view: FleetView, clock: ManualClock
) -> None:
    """Lets the daemon learn costs, and leaves a request at each upstream."""
    request = _request(0, prefix=False)
    cost = dispatcher.work.cost(request, "engines", "", None)
    for cached in view.upstreams.values():
        attempt = dispatcher.work.begin(cached.entry, cost, 4)
        clock.advance(400)
        dispatcher.work.complete(attempt, 100)
        dispatcher.work.begin(cached.entry, cost, 4)


def measure(*, prefix: bool, speeds: bool, seed: int = 1) -> ChoiceTime:
    """Measures choices.

    Args:
        prefix: Whether the requests have shared prefixes.
        speeds: Whether upstreams report their speed.
        seed: Seed of loads and choices.
    """
    rng = random.Random(seed)
    view = _view()
    clock = ManualClock(10_000)
    peers = {upstream_digest(name): rng.randrange(9) for name in view.upstreams}
    members = {f"node-{number}" for number in range(_MEMBERS)}
    dispatcher = Dispatcher(
        view,
        clock,
        rng,
        own_name="node-0",
        failure_domain="a",
        members=lambda: members,
        peers_in_flight=lambda: peers,
    )
    if speeds:
        _finish_some(dispatcher, view, clock)
    for cached in view.upstreams.values():
        report = LoadReport(
            running=rng.randrange(9),
            waiting=0,
            slots=16,
            duration_percent=rng.choice((83, 182)) if speeds else None,
        )
        dispatcher.record_load(cached.entry, report)
    requests = [_request(n, prefix=prefix) for n in range(_CHOICES)]
    times = []
    for _ in range(_ROUNDS):
        started = time.perf_counter()
        for request in requests:
            dispatcher.choose(request, "engines", model=None, excluded=())
            clock.advance(1)
        times.append((time.perf_counter() - started) / _CHOICES * _US_PER_S)
    return ChoiceTime(
        request="shared prefix" if prefix else "no prefix",
        speeds=speeds,
        median_us=round(statistics.median(times), 1),
        fastest_us=round(min(times), 1),
    )


def main(arguments: Sequence[str]) -> None:
    """Prints the times."""
    del arguments
    rows = [
        measure(prefix=prefix, speeds=speeds)
        for speeds in (False, True)
        for prefix in (False, True)
    ]
    print(format_table([dataclasses.asdict(row) for row in rows]))


if __name__ == "__main__":
    app.run(main)
