"""Measures the overhead of one daemon compared to direct upstream calls.

Usage: ``python -m tools.measure_router [--write=false]``

All processes run on loopback, with lightweight stand-ins as upstreams. Direct
and routed requests alternate on one connection each, so that both see the
machine in the same state.
"""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Mapping, Sequence

from absl import app, flags

from tools.processes import Processes
from tools.resources import cpu_s, load_per_core, resident_mb
from tools.results import format_table, percentile, write_results
from tools.router.bench import Bench
from tools.router.client import Call, Connection, LoadResult, LoadSpec, run_load

_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")
_REPEATS = flags.DEFINE_integer("repeats", 300, "Requests for each latency.")
_DURATION_S = flags.DEFINE_float("duration_s", 6.0, "Duration of each load.")

_DISCARDED_REQUESTS = 5
_WARM_UP_ROUNDS = 10
_COLD_REPEATS = 30
_OK = 200
_STREAM_TOKENS = 8
_SHORT_TOKENS = 1
_LONG_TOKENS = 16
_CLIENT_PROCESSES = 2
_STREAMS = 300
_SLOW_TOKEN_MS = 250.0
_IDLE_S = 5.0
_SAMPLE_S = 0.5
_MS_PER_S = 1_000

_Row = dict[str, object]


def _measure_latencies(bench: Bench, state: str, repeats: int) -> list[_Row]:
    pairs = {
        f"{state} look-up": (bench.direct_look_up(), bench.routed_look_up()),
        f"{state} stream of {_STREAM_TOKENS} tokens": (
            bench.direct_chat(_STREAM_TOKENS),
            bench.routed_chat(_STREAM_TOKENS),
        ),
    }
    return [
        row
        for name, pair in pairs.items()
        for row in _compare(name, *pair, repeats)
    ]


def _warm_up(bench: Bench) -> None:
    """Sends requests until no upstream is in a cold start for the daemon.

    Raises:
        RuntimeError: If an upstream stays cold.
    """
    for _ in range(_WARM_UP_ROUNDS):
        if not bench.cold_upstreams():
            return
        for call in (
            bench.routed_look_up(),
            bench.routed_chat(_SHORT_TOKENS),
        ):
            load = LoadSpec(call=call, connections=16, duration_s=2.0)
            run_load(load, _CLIENT_PROCESSES)
    raise RuntimeError(f"upstreams are still cold: {bench.cold_upstreams()}")


def _compare(name: str, direct: Call, routed: Call, repeats: int) -> list[_Row]:
    connections = [Connection(direct.port), Connection(routed.port)]
    samples: list[dict[str, list[float]]] = [
        {"first": [], "whole": []},
        {"first": [], "whole": []},
    ]
    for number in range(_DISCARDED_REQUESTS + repeats):
        for index, call in enumerate((direct, routed)):
            response = connections[index].send(call)
            if response.status != _OK:
                raise RuntimeError(
                    f"{name}: unexpected status {response.status}"
                )
            if number >= _DISCARDED_REQUESTS:
                samples[index]["first"].append(response.first_ms)
                samples[index]["whole"].append(response.total_ms)
    for connection in connections:
        connection.close()
    return [
        _latency_row(name, part, percent, samples[0][part], samples[1][part])
        for part in ("first", "whole")
        for percent in (50, 99)
    ]


def _latency_row(
    name: str,
    part: str,
    percent: int,
    direct: Sequence[float],
    routed: Sequence[float],
) -> _Row:
    direct_ms = percentile(direct, percent)
    routed_ms = percentile(routed, percent)
    return {
        "request": name,
        "until": part,
        "percentile": percent,
        "direct_ms": round(direct_ms, 2),
        "routed_ms": round(routed_ms, 2),
        "added_ms": round(routed_ms - direct_ms, 2),
        "ratio": round(routed_ms / direct_ms, 2),
    }


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _LoadCost:
    # The totals of a load, and the daemon's processor time for it.
    outcome: LoadResult
    cpu_s: float

    @property
    def cpu_ms_per_request(self) -> float:
        """Processor time for each successful request, in milliseconds."""
        return self.cpu_s * _MS_PER_S / max(1, self.outcome.answered)

    def row(self, name: str, connections: int) -> _Row:
        """Returns the row of the throughput table."""
        outcome = self.outcome
        return {
            "load": name,
            "connections": connections,
            "answered": outcome.answered,
            "refused": outcome.refused,
            "requests_per_s": round(outcome.answered / outcome.elapsed_s, 1),
            "events_per_s": round(outcome.events / outcome.elapsed_s, 1),
            "cores": round(self.cpu_s / outcome.elapsed_s, 2),
            "cpu_ms_per_request": round(self.cpu_ms_per_request, 2),
        }


def _measure_load(bench: Bench, call: Call, connections: int) -> _LoadCost:
    load = LoadSpec(
        call=call, connections=connections, duration_s=_DURATION_S.value
    )
    before_s = cpu_s(bench.daemon_pid)
    outcome = run_load(load, _CLIENT_PROCESSES)
    return _LoadCost(outcome=outcome, cpu_s=cpu_s(bench.daemon_pid) - before_s)


def _measure_throughput(bench: Bench) -> tuple[list[_Row], _Row]:
    rows: list[_Row] = []
    for connections in (4, 16):
        cost = _measure_load(bench, bench.routed_look_up(), connections)
        rows.append(cost.row("look-up", connections))
        cost = _measure_load(bench, bench.direct_look_up(), connections)
        rows.append(
            {
                **cost.row("look-up, direct", connections),
                "cores": "-",
                "cpu_ms_per_request": "-",
            }
        )
    short = _measure_load(bench, bench.routed_chat(_SHORT_TOKENS), 16)
    rows.append(short.row(f"stream of {_SHORT_TOKENS}", 16))
    long = _measure_load(bench, bench.routed_chat(_LONG_TOKENS), 16)
    rows.append(long.row(f"stream of up to {_LONG_TOKENS}", 16))
    return rows, _per_event(short, long)


def _per_event(short: _LoadCost, long: _LoadCost) -> _Row:
    """Solves processor time = requests * a + events * b from two loads."""
    events = [
        cost.outcome.events / max(1, cost.outcome.answered)
        for cost in (short, long)
    ]
    added_ms = long.cpu_ms_per_request - short.cpu_ms_per_request
    per_event_ms = added_ms / (events[1] - events[0])
    return {
        "events_short": round(events[0], 2),
        "events_long": round(events[1], 2),
        "cpu_ms_per_event": round(per_event_ms, 3),
        "cpu_ms_per_request": round(
            short.cpu_ms_per_request - per_event_ms * events[0], 2
        ),
    }


def _measure_memory(bench: Bench) -> tuple[list[_Row], _Row]:
    idle = _measure_idle(bench)
    bench.set_token_ms(_SLOW_TOKEN_MS)
    peak = _PeakMemory(bench)
    with peak:
        cost = _measure_load(bench, bench.routed_chat(_LONG_TOKENS), _STREAMS)
    row = cost.row(f"stream, a token in {_SLOW_TOKEN_MS:.0f} ms", _STREAMS)
    busy = {"state": f"{_STREAMS} streams, most", **peak.row()}
    after = {
        "state": "after them",
        "running": 0,
        "resident_mb": round(resident_mb(bench.daemon_pid), 1),
        "cores": "-",
    }
    busy["cores"] = row["cores"]
    return [idle, busy, after], row


def _measure_idle(bench: Bench) -> _Row:
    before_s = cpu_s(bench.daemon_pid)
    time.sleep(_IDLE_S)
    used_s = cpu_s(bench.daemon_pid) - before_s
    return {
        "state": "no requests",
        "running": 0,
        "resident_mb": round(resident_mb(bench.daemon_pid), 1),
        "cores": round(used_s / _IDLE_S, 3),
    }


class _PeakMemory:
    """Samples peak memory and in-flight requests; a context manager."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench
        self._peak_mb = 0.0
        self._peak_running = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sample)

    def __enter__(self) -> None:
        self._thread.start()

    def __exit__(self, *error: object) -> None:
        self._stopped.set()
        self._thread.join()

    def row(self) -> _Row:
        """Returns the peaks as part of a row."""
        return {
            "running": self._peak_running,
            "resident_mb": round(self._peak_mb, 1),
        }

    def _sample(self) -> None:
        while not self._stopped.wait(_SAMPLE_S):
            memory_mb = resident_mb(self._bench.daemon_pid)
            self._peak_mb = max(self._peak_mb, memory_mb)
            running = self._bench.running()
            self._peak_running = max(self._peak_running, running)


def main(arguments: Sequence[str]) -> None:
    """Runs the measurement, prints the tables and writes the JSON file."""
    del arguments
    with Processes() as processes:
        bench = Bench(processes)
        bench.start()
        load = load_per_core()
        latencies = _measure_latencies(bench, "cold", _COLD_REPEATS)
        _warm_up(bench)
        latencies += _measure_latencies(bench, "warm", _REPEATS.value)
        loads, per_event = _measure_throughput(bench)
        memory, streams = _measure_memory(bench)
    sections: Mapping[str, list[_Row]] = {
        "latency": latencies,
        "throughput": [*loads, streams],
        "per_event": [per_event],
        "memory": memory,
    }
    for name, rows in sections.items():
        print(f"\n{name} (load per core at the start: {load})")
        print(format_table(rows))
    if _WRITE.value:
        write_results("router", load, sections)


if __name__ == "__main__":
    app.run(main)
