"""Measures the cost of tracking upstreams in a daemon without requests.

Usage: ``python -m tools.measure_upstreams [--write=false]``

A daemon tracks all upstreams of a small pool or a subset of a large pool, and
fetches a load report from each tracked upstream. Pools have twelve upstreams
here. Slopes are per tracked upstream. The upstreams are lightweight service
stand-ins in one process.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Sequence
from typing import Any

from absl import app, flags

from tools.processes import (
    ADMIN_TOKEN,
    Processes,
    http_request,
    start_daemon,
    wait_until,
)
from tools.resources import cpu_s, load_per_core, resident_mb
from tools.results import format_table, write_results

_COUNTS = flags.DEFINE_list("counts", ["3", "12", "72", "144"], "Upstreams.")
_WINDOW_S = flags.DEFINE_float("window_s", 8.0, "Duration of each window.")
_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")

_STORE_PORT = 21_092
_DAEMON_PORT = 21_210
_FIRST_PORT = 21_300
_SETTLE_S = 4.0
_SIGN_OFF_TIMEOUT_S = 60
_OK = 200
_WINDOWS = 2
# The number of upstreams that a daemon tracks in a large pool.
_POOL_SIZE = 12
_HEADERS = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
_HEAD = """
name = "measure"
version = 1
failure_domains = ["domain-a"]
"""
_POOL = """
[[pools]]
name = "workers-{index}"
kind = "service"
"""
_UPSTREAM = """
[[pools.upstreams]]
name = "worker-{index}"
address = "127.0.0.1:{port}"
failure_domain = "domain-a"
capacity = 16
cold_capacity = 4
"""
_TAIL = """
[[services]]
name = "catalogue"
pool = "workers-0"
call_cost_nano = 2_000

[[services.operations]]
name = "look-up"
method = "GET"
idempotent = true

[[workspaces]]
name = "measure"
token_sha256 = "{token}"
services = ["catalogue"]
"""


def _bundle(count: int) -> str:
    parts = [_HEAD]
    for index in range(count):
        if index % _POOL_SIZE == 0:
            parts.append(_POOL.format(index=index // _POOL_SIZE))
        port = _FIRST_PORT + index
        parts.append(_UPSTREAM.format(index=index, port=port))
    return "".join(parts) + _TAIL.format(token="0" * 64)


def _sign_off(bundle: str) -> bool:
    body = {
        "kind": "sign-off",
        "change_id": "measure-0",
        "author": "measure",
        "bundle": bundle,
    }
    url = f"http://127.0.0.1:{_DAEMON_PORT + 1}/v1/changes"
    return http_request("POST", url, body, _HEADERS).status == _OK


def _measure(count: int) -> list[dict[str, Any]]:
    with Processes() as processes:
        store = f"--port={_STORE_PORT}"
        processes.start("store", "trefoilpitch.standins.kv", store)
        processes.start(
            "workers",
            "tools.router.workers",
            f"--first_port={_FIRST_PORT}",
            f"--count={count}",
        )
        start_daemon(
            processes,
            "entry-a",
            failure_domain="domain-a",
            base_port=_DAEMON_PORT,
            store_port=_STORE_PORT,
        )
        bundle = _bundle(count)
        wait_until(
            lambda: _sign_off(bundle), "the sign-off", _SIGN_OFF_TIMEOUT_S
        )
        time.sleep(_SETTLE_S)
        pid = processes.pid("entry-a")
        return [_window(pid, count) for _ in range(_WINDOWS)]


def _window(pid: int, count: int) -> dict[str, Any]:
    before_s = cpu_s(pid)
    time.sleep(_WINDOW_S.value)
    used_s = cpu_s(pid) - before_s
    url = f"http://127.0.0.1:{_DAEMON_PORT + 1}/v1/dump"
    upstreams = http_request("GET", url, headers=_HEADERS).json()["upstreams"]
    reports = [one["report"] for one in upstreams]
    ages = [report["age_ms"] for report in reports if report]
    return {
        "upstreams": count,
        "with_report": len(ages),
        "oldest_report_ms": max(ages, default=0),
        "cpu_percent": round(100 * used_s / _WINDOW_S.value, 2),
        "resident_mb": round(resident_mb(pid), 1),
    }


def _slope(rows: Sequence[dict[str, Any]], name: str) -> dict[str, Any]:
    counts = [row["with_report"] for row in rows]
    values = [row[name] for row in rows]
    fit = statistics.linear_regression(counts, values)
    residuals = [
        abs(value - fit.intercept - fit.slope * count)
        for count, value in zip(counts, values, strict=True)
    ]
    return {
        "figure": name,
        "at_0": round(fit.intercept, 3),
        "per_followed": round(fit.slope, 4),
        "largest_residual": round(max(residuals), 3),
    }


def main(arguments: Sequence[str]) -> None:
    """Runs the measurement, prints the tables and writes the JSON file."""
    del arguments
    load = load_per_core()
    rows = [row for count in _COUNTS.value for row in _measure(int(count))]
    slopes = [_slope(rows, name) for name in ("cpu_percent", "resident_mb")]
    sections = {"upstreams": rows, "slopes": slopes}
    for name, section in sections.items():
        print(f"\n{name} (load per core at the start: {load})")
        print(format_table(section))
    if _WRITE.value:
        write_results("upstreams", load, sections)


if __name__ == "__main__":
    app.run(main)
