"""Measures how often prompts reach an engine that has their prefix cached.

Usage: ``python -m tools.measure_prefixes [--write=false]``

Conversations that begin alike are sent over and over, each request to a
random one of several daemons. No engine's cache holds all of their prefixes;
all caches together do.
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
from tools.router.client import Call, Connection, Reply

_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")
_REQUESTS = flags.DEFINE_integer("requests", 2_400, "Requests of each case.")
_SEED = flags.DEFINE_integer("seed", 1, "Chooses prompts and daemons.")

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


def _calls(bench: Bench, case: str, requests: int) -> list[Call]:
    rng = random.Random(f"{_SEED.value}/{case}/{requests}")
    calls = []
    for _ in range(requests):
        call = bench.routed_chat(1, rng.randrange(_DAEMONS))
        prompt = f"{case}, conversation {rng.randrange(_PREFIXES)}".encode()
        body = call.body.replace(_PLACEHOLDER, prompt)
        calls.append(dataclasses.replace(call, body=body))
    return calls


def _send(calls: Sequence[Call]) -> list[Reply]:
    connections = {
        port: Connection(port) for port in {call.port for call in calls}
    }
    replies = [connections[call.port].send(call) for call in calls]
    for connection in connections.values():
        connection.close()
    return replies


def _measure(bench: Bench, case: str) -> _Row:
    bench.set_engines(_CASES[case])
    warm_up, counted = (
        _calls(bench, case, requests)
        for requests in (_WARM_UP_REQUESTS, _REQUESTS.value)
    )
    with concurrent.futures.ThreadPoolExecutor(_CONNECTIONS) as pool:
        _spread(pool, warm_up)
        before = bench.prefix_hits()
        replies = _spread(pool, counted)
    hits = bench.prefix_hits() - before
    first_ms = [reply.first_ms for reply in replies]
    return {
        "case": case,
        "answered": sum(reply.status == _OK for reply in replies),
        "hit_percent": round(100 * hits / len(replies), 1),
        "first_ms_p50": round(percentile(first_ms, 50), 1),
        "first_ms_p95": round(percentile(first_ms, 95), 1),
    }


def _spread(
    pool: concurrent.futures.Executor, calls: Sequence[Call]
) -> list[Reply]:
    shares = [calls[index::_CONNECTIONS] for index in range(_CONNECTIONS)]
    return [reply for part in pool.map(_send, shares) for reply in part]


def main(arguments: Sequence[str]) -> None:
    """Measures, prints and writes."""
    del arguments
    with Processes() as processes:
        bench = Bench(processes, engines=_ENGINES, daemons=_DAEMONS)
        bench.start()
        bench.set_engines(
            {"cache_prefixes": _CACHED_PREFIXES, "prefill_ms": _PREFILL_MS}
        )
        load = load_per_core()
        rows = [_measure(bench, case) for case in _CASES]
    print(f"\nprefixes (load a core at the start: {load})")
    print(format_table(rows))
    if _WRITE.value:
        write_results("prefixes", load, {"prefixes": rows})


if __name__ == "__main__":
    app.run(main)
