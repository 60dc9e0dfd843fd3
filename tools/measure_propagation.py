"""Compares ways to propagate changes to every daemon, on loopback.

Usage: ``python -m tools.measure_propagation [--sizes=3,9,27] [--write=false]``

The ways are the product's default (relays and deltas) and, set by its ordinary
flags, each node watching the store itself, complete bundles instead of deltas,
and both of these. Changes are sent once per second, or as soon as the previous
one is done if that takes longer, while the store is healthy, slow, and
flapping. Store calls and body bytes are counted by the stand-in store, peer
bytes by the daemons' transports; times are measured by this program.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import threading
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from absl import app, flags

from tools.fleet.bench import FleetBench
from tools.processes import Processes
from tools.resources import load_per_core
from tools.results import format_table, percentile, write_results

_SIZES = flags.DEFINE_list("sizes", ["3", "9", "27"], "Fleet sizes.")
_WAYS = flags.DEFINE_list(
    "ways",
    ["product", "naive"],
    "Ways to compare: product, each-watches, whole, naive.",
)
_CHANGES = flags.DEFINE_integer("changes", 15, "Changes for each store state.")
_WORKSPACES = flags.DEFINE_integer(
    "workspaces", 2_500, "Workspaces in the bundle."
)
_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")

_EACH_WATCHES = {"relays_per_domain": "4096"}
_WHOLE_BUNDLES = {"max_delta_bytes": "0"}
_FLAGS: Mapping[str, Mapping[str, str]] = {
    "product": {},
    "each-watches": _EACH_WATCHES,
    "whole": _WHOLE_BUNDLES,
    "naive": {**_EACH_WATCHES, **_WHOLE_BUNDLES},
}
_SETTLE_S = 5.0
_IDLE_S = 10.0
_CHANGE_INTERVAL_S = 1.0
_SLOW_STORE_MS = 500
_STORE_DOWN_S = 1.5
_STORE_UP_S = 2.5
_HEAD = """
name = "measure"
version = 1
failure_domains = ["domain-a", "domain-b", "domain-c"]
"""
_WORKSPACE = """
[[workspaces]]
name = "workspace-{index}"
token_sha256 = "{index:064x}"
"""

_Row = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Totals:
    """Counters since the start of the fleet."""

    # Monotonic time of the reading.
    at_s: float
    store_calls: int
    store_bytes: int
    peer_bytes: int
    watches: int


def _totals(bench: FleetBench) -> _Totals:
    store = bench.store_counters()
    sent = [dump["peering"]["bytes_sent"] for dump in bench.dumps()]
    return _Totals(
        at_s=time.monotonic(),
        store_calls=store["reads"] + store["writes"],
        store_bytes=store["bytes"],
        peer_bytes=sum(sent),
        watches=store["watches_waiting"],
    )


def _rates(before: _Totals, after: _Totals, size: int) -> _Row:
    elapsed_s = after.at_s - before.at_s
    store_bytes = (after.store_bytes - before.store_bytes) / elapsed_s / size
    peer_bytes = (after.peer_bytes - before.peer_bytes) / elapsed_s / size
    calls = (after.store_calls - before.store_calls) / elapsed_s
    return {
        "store_calls_per_s": round(calls, 2),
        "store_bytes_per_s_node": round(store_bytes),
        "peer_bytes_per_s_node": round(peer_bytes),
        "bytes_per_s_node": round(store_bytes + peer_bytes),
        "watches": after.watches,
        "load_per_core": load_per_core(),
    }


def _measure_idle(bench: FleetBench, size: int) -> _Row:
    before = _totals(bench)
    time.sleep(_IDLE_S)
    return {"store": "healthy", **_rates(before, _totals(bench), size)}


def _measure_changes(
    bench: FleetBench, size: int, store: str, numbers: Iterator[int]
) -> _Row:
    before = _totals(bench)
    times: list[tuple[float, float]] = []
    failed = 0
    for number in itertools.islice(numbers, _CHANGES.value):
        started_s = time.monotonic()
        try:
            times.append(bench.time_change(number))
        except TimeoutError:
            failed += 1
        time.sleep(max(0.0, started_s + _CHANGE_INTERVAL_S - time.monotonic()))
    after = _totals(bench)
    from_sent = [accepted + spread for accepted, spread in times]
    from_accepted = [spread for _, spread in times]
    return {
        "store": store,
        "changes": _CHANGES.value,
        "not_in_force": failed,
        "changes_per_s": round(_CHANGES.value / (after.at_s - before.at_s), 2),
        **_percentiles("from_accepted", from_accepted),
        **_percentiles("from_sent", from_sent),
        **_rates(before, after, size),
    }


def _percentiles(name: str, values: Sequence[float]) -> _Row:
    if not values:
        return dict.fromkeys(
            f"{name}_{end}" for end in ("p50_s", "p99_s", "worst_s")
        )
    return {
        f"{name}_p50_s": round(percentile(values, 50), 2),
        f"{name}_p99_s": round(percentile(values, 99), 2),
        f"{name}_worst_s": round(max(values), 2),
    }


@contextlib.contextmanager
def _flapping(bench: FleetBench) -> Iterator[None]:
    """Alternates between an unavailable and an available store."""
    stopped = threading.Event()

    def flap() -> None:
        while not stopped.is_set():
            bench.set_store_down(True)
            stopped.wait(_STORE_DOWN_S)
            bench.set_store_down(False)
            stopped.wait(_STORE_UP_S)

    thread = threading.Thread(target=flap)
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join()


def _measure(size: int, way: str, bundle: str) -> tuple[_Row, list[_Row]]:
    with Processes() as processes:
        bench = FleetBench(processes, size, bundle, _FLAGS[way])
        bench.start()
        time.sleep(_SETTLE_S)
        idle = _measure_idle(bench, size)
        # Each change reverts the previous one, so that none is a no-op.
        numbers = itertools.count()
        changes = [_measure_changes(bench, size, "healthy", numbers)]
        bench.set_store_delay_ms(_SLOW_STORE_MS)
        changes.append(
            _measure_changes(
                bench, size, f"{_SLOW_STORE_MS} ms a call", numbers
            )
        )
        bench.set_store_delay_ms(0)
        with _flapping(bench):
            changes.append(
                _measure_changes(
                    bench,
                    size,
                    f"{_STORE_DOWN_S} s down, {_STORE_UP_S} s up",
                    numbers,
                )
            )
    key = {"daemons": size, "way": way}
    return {**key, **idle}, [{**key, **row} for row in changes]


def main(arguments: Sequence[str]) -> None:
    """Runs the measurement, prints the tables and writes the JSON file."""
    del arguments
    load = load_per_core()
    workspaces = range(1, _WORKSPACES.value + 1)
    bundle = _HEAD + "".join(_WORKSPACE.format(index=i) for i in workspaces)
    sections: dict[str, list[_Row]] = {"idle": [], "changes": []}
    for size in map(int, _SIZES.value):
        for way in _WAYS.value:
            idle, changes = _measure(size, way, bundle)
            sections["idle"].append(idle)
            sections["changes"] += changes
            print(f"{size} daemons, {way}: measured", flush=True)
    for name, rows in sections.items():
        print(f"\n{name} (load per core at the start: {load})")
        print(format_table(rows))
    if _WRITE.value:
        write_results("propagation", load, sections)


if __name__ == "__main__":
    app.run(main)
