"""Measures fleets of real daemons on loopback that serve no requests.

Usage: ``python -m tools.measure_fleet [--sizes=3,9,27] [--write=false]``

Bytes and messages are counted by the daemons' transports; memory and processor
time come from the kernel's process table. One stand-in store counts the calls
of all daemons. The time of a change starts when it is sent and so includes its
commit. Slopes are least-squares fits over the fleet sizes.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Sequence
from typing import Any

from absl import app, flags

from tools.fleet.bench import FleetBench
from tools.processes import Processes
from tools.resources import cpu_s, load_per_core, resident_mb
from tools.results import format_table, percentile, write_results

_SIZES = flags.DEFINE_list("sizes", ["3", "9", "27"], "Fleet sizes.")
_WINDOW_S = flags.DEFINE_float("window_s", 15.0, "Length of the idle window.")
_CHANGES = flags.DEFINE_integer("changes", 30, "Changes with a healthy store.")
_SLOW_CHANGES = flags.DEFINE_integer(
    "slow_changes", 10, "Changes with a slow store."
)
_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")

_SETTLE_S = 5.0
_SLOW_STORE_MS = 500
_SLOPES = (
    "bytes_sent_per_s",
    "bytes_received_per_s",
    "messages_sent_per_s",
    "cpu_percent",
    "resident_mb",
    "store_reads_per_s",
    "store_writes_per_s",
    "store_watches",
)

_Row = dict[str, Any]


def _measure_idle(bench: FleetBench, size: int) -> tuple[_Row, _Row]:
    before = _snapshot(bench)
    time.sleep(_WINDOW_S.value)
    after = _snapshot(bench)
    elapsed_s = after["at_s"] - before["at_s"]

    def rates(name: str) -> list[float]:
        return [
            (new - old) / elapsed_s
            for old, new in zip(before[name], after[name], strict=True)
        ]

    sent, received = rates("bytes_sent"), rates("bytes_received")
    cpu = [share * 100 for share in rates("cpu")]
    memory = [resident_mb(pid) for pid in bench.pids]
    store = {
        name: (after["store"][name] - before["store"][name]) / elapsed_s
        for name in ("reads", "writes")
    }
    node: _Row = {
        "daemons": size,
        "load_per_core": load_per_core(),
        "bytes_sent_per_s": round(statistics.mean(sent)),
        "bytes_sent_most": round(max(sent)),
        "bytes_received_per_s": round(statistics.mean(received)),
        "messages_sent_per_s": round(statistics.mean(rates("messages")), 1),
        "frames_sent_per_s": round(statistics.mean(rates("frames")), 1),
        "cpu_percent": round(statistics.mean(cpu), 2),
        "cpu_percent_most": round(max(cpu), 2),
        "resident_mb": round(statistics.mean(memory), 1),
        "resident_mb_most": round(max(memory), 1),
    }
    fleet: _Row = {
        "daemons": size,
        "store_reads_per_s": round(store["reads"], 2),
        "store_writes_per_s": round(store["writes"], 2),
        "store_watches": after["store"]["watches_waiting"],
        "reads_per_s_node": round(store["reads"] / size, 3),
        "writes_per_s_node": round(store["writes"] / size, 3),
        "store_cpu_percent": round(
            (after["store_cpu"] - before["store_cpu"]) / elapsed_s * 100, 2
        ),
    }
    return node, fleet


def _snapshot(bench: FleetBench) -> _Row:
    # Dumps cost the daemons processor time, so it is read before they are
    # fetched: the dumps of the closing snapshot are not counted.
    pids = bench.pids
    cpu = [cpu_s(pid) for pid in pids]
    peering = [dump["peering"] for dump in bench.dumps()]
    return {
        "cpu": cpu,
        "at_s": time.monotonic(),
        "store": bench.store_counters(),
        "store_cpu": cpu_s(bench.store_pid),
        "bytes_sent": [one["bytes_sent"] for one in peering],
        "bytes_received": [one["bytes_received"] for one in peering],
        "messages": [one["messages_sent"] for one in peering],
        "frames": [one["frames_sent"] for one in peering],
    }


def _measure_changes(
    bench: FleetBench, size: int, store: str, count: int
) -> _Row:
    times = [bench.time_change(number) for number in range(count)]
    commits = [commit for commit, _ in times]
    in_force = [commit + elapsed for commit, elapsed in times]
    return {
        "daemons": size,
        "store": store,
        "changes": count,
        "commit_p50_s": round(percentile(commits, 50), 2),
        "commit_worst_s": round(max(commits), 2),
        "in_force_p50_s": round(percentile(in_force, 50), 2),
        "in_force_p99_s": round(percentile(in_force, 99), 2),
        "in_force_worst_s": round(max(in_force), 2),
        "watches_after": bench.store_counters()["watches_waiting"],
    }


def _measure(size: int) -> dict[str, list[_Row]]:
    with Processes() as processes:
        bench = FleetBench(processes, size)
        bench.start()
        time.sleep(_SETTLE_S)
        node, fleet = _measure_idle(bench, size)
        changes = [_measure_changes(bench, size, "healthy", _CHANGES.value)]
        if _SLOW_CHANGES.value:
            bench.set_store_delay_ms(_SLOW_STORE_MS)
            name = f"{_SLOW_STORE_MS} ms a call"
            changes.append(
                _measure_changes(bench, size, name, _SLOW_CHANGES.value)
            )
    return {"node": [node], "fleet": [fleet], "changes": changes}


def _slopes(rows: Sequence[_Row]) -> list[_Row]:
    """Fits each figure as a linear function of the number of daemons."""
    sizes = [row["daemons"] for row in rows]
    slopes: list[_Row] = []
    for name in _SLOPES:
        values = [row[name] for row in rows]
        fit = statistics.linear_regression(sizes, values)
        residuals = [
            abs(value - fit.intercept - fit.slope * size)
            for size, value in zip(sizes, values, strict=True)
        ]
        slopes.append(
            {
                "figure": name,
                "at_0": round(fit.intercept, 3),
                "per_daemon": round(fit.slope, 4),
                "largest_residual": round(max(residuals), 3),
            }
        )
    return slopes


def main(arguments: Sequence[str]) -> None:
    """Runs the measurement, prints the tables and writes the JSON file."""
    del arguments
    load = load_per_core()
    sections: dict[str, list[_Row]] = {"node": [], "fleet": [], "changes": []}
    for size in map(int, _SIZES.value):
        for name, rows in _measure(size).items():
            sections[name] += rows
        print(f"{size} daemons measured", flush=True)
    if len(sections["node"]) > 1:
        merged = [
            {**node, **fleet}
            for node, fleet in zip(
                sections["node"], sections["fleet"], strict=True
            )
        ]
        sections["slopes"] = _slopes(merged)
    for name, rows in sections.items():
        print(f"\n{name} (load per core at the start: {load})")
        print(format_table(rows))
    if _WRITE.value:
        write_results("fleet", load, sections)


if __name__ == "__main__":
    app.run(main)
