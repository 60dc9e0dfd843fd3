"""Measures how often prompts reach an engine that has their prefix cached.

Usage: ``python -m tools.measure_prefixes [--write=false]``

Prompts from a fixed set of conversations are sent repeatedly, each to a random
daemon. The cache of one engine is too small for all prefixes; all caches
together can hold them.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import random
from collections.abc import Mapping, Sequence

from absl import app, flags

from tools.processes import Processes
from tools.resources import load_per_core
from tools.results import format_table, percentile, write_results
from tools.router.bench import Bench
from tools.router.client import Call, Connection, TimedResponse

_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")
_REQUESTS = flags.DEFINE_integer("requests", 2_400, "Requests in each case.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the prompts and daemons.")

_ENGINES = 3
_DAEMONS = 3
_PREFIXES = 60
_CACHED_PREFIXES = 24
_PREFILL_MS = 50
_CONNECTIONS = 6
_WARM_UP_REQUESTS = 600
_PLACEHOLDER = b"PROMPT"
_OK = 200

_CASES: Mapping[str, Mapping[str, int]] = {
    "events at once": {"load_lag_ms": 0, "cache_event_loss": 0},
    "events 1 s late": {"load_lag_ms": 1_000, "cache_event_loss": 0},
    "1 s late, each 20th lost": {"load_lag_ms": 1_000, "cache_event_loss": 20},
}

_Row = dict[str, object]


def _create_calls(bench: Bench, case: str, requests: int) -> list[Call]:
    rng = random.Random(f"{_SEED.value}/{case}/{requests}")
    calls = []
    for _ in range(requests):
        call = bench.routed_chat(1, rng.randrange(_DAEMONS))
        prompt = f"{case}, conversation {rng.randrange(_PREFIXES)}".encode()
        body = call.body.replace(_PLACEHOLDER, prompt)
        calls.append(dataclasses.replace(call, body=body))
    return calls


def _send(calls: Sequence[Call]) -> list[TimedResponse]:
    connections = {
        port: Connection(port) for port in {call.port for call in calls}
    }
    responses = [connections[call.port].send(call) for call in calls]
    for connection in connections.values():
        connection.close()
    return responses


def _measure(bench: Bench, case: str) -> _Row:
    bench.set_engines(_CASES[case])
    warm_up, counted = (
        _create_calls(bench, case, requests)
        for requests in (_WARM_UP_REQUESTS, _REQUESTS.value)
    )
    with concurrent.futures.ThreadPoolExecutor(_CONNECTIONS) as executor:
        _send_concurrently(executor, warm_up)
        before = bench.prefix_hits()
        responses = _send_concurrently(executor, counted)
    hits = bench.prefix_hits() - before
    first_ms = [response.first_ms for response in responses]
    return {
        "case": case,
        "answered": sum(response.status == _OK for response in responses),
        "hit_percent": round(100 * hits / len(responses), 1),
        "first_ms_p50": round(percentile(first_ms, 50), 1),
        "first_ms_p95": round(percentile(first_ms, 95), 1),
    }


def _send_concurrently(
    executor: concurrent.futures.Executor, calls: Sequence[Call]
) -> list[TimedResponse]:
    shares = [calls[index::_CONNECTIONS] for index in range(_CONNECTIONS)]
    return [
        response for share in executor.map(_send, shares) for response in share
    ]


def main(arguments: Sequence[str]) -> None:
    """Runs the measurement, prints the table and writes the JSON file."""
    del arguments
    with Processes() as processes:
        bench = Bench(processes, engines=_ENGINES, daemons=_DAEMONS)
        bench.start()
        bench.set_engines(
            {"cache_prefixes": _CACHED_PREFIXES, "prefill_ms": _PREFILL_MS}
        )
        load = load_per_core()
        rows = [_measure(bench, case) for case in _CASES]
    print(f"\nprefixes (load per core at the start: {load})")
    print(format_table(rows))
    if _WRITE.value:
        write_results("prefixes", load, {"prefixes": rows})


if __name__ == "__main__":
    app.run(main)
