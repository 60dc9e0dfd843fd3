"""Mutation test of the oracle of the stateful fleet tests.

``python -m tools.defects`` injects one defect for each statement of the
oracle, each in a process of its own, and prints a table. The exit status is 0
only if every defect is caught by its own statement.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import os
import subprocess
import sys
from collections.abc import Callable
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from trefoilpitch import routing
from trefoilpitch.callers import _api, _keyed_calls
from trefoilpitch.coldstart import Admission, AdmissionKind
from trefoilpitch.daemon import _cold_starts, _configuration, _draining, _ledger
from trefoilpitch.daemon.tests.stateful.machine import FleetMachine
from trefoilpitch.daemon.tests.stateful.oracle import (
    STATEMENTS,
    ViolationError,
)
from trefoilpitch.routing import _table
from trefoilpitch.serving import _chat, _directory, _runs
from trefoilpitch.web import Outcome

_WORKERS = 4
_CAUGHT, _MISSED, _OTHER = 0, 1, 2
_SETTINGS = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate,),
)


def _patched(target: Any, name: str, new: Any) -> Callable[[], None]:
    return lambda: mock.patch.object(target, name, new).start()


def _without_fields(**fields: Any) -> Callable[[], None]:
    """Replaces fields of every configuration before it is put in force."""
    advance = _configuration.CurrentConfiguration.advance

    def advance_without(self: Any, configuration: Any) -> bool:
        reduced = dataclasses.replace(configuration, **fields)
        return advance(self, reduced)

    return _patched(
        _configuration.CurrentConfiguration, "advance", advance_without
    )


def _ignore_session_pins() -> None:
    choose = routing.choose_versions
    numbers = iter(range(1 << 30))

    def choose_freely(*args: Any, **kwargs: Any) -> Any:
        kwargs.update(pins=(), key=str(next(numbers)))
        return choose(*args, **kwargs)

    mock.patch.object(_chat, "choose_versions", choose_freely).start()


def _hide_leaving_flag() -> None:
    record = _directory.UpstreamDirectory.record_report

    def record_as_staying(self: Any, upstream: str, report: Any) -> None:
        record(self, upstream, dataclasses.replace(report, leaving=False))

    mock.patch.object(
        _directory.UpstreamDirectory, "record_report", record_as_staying
    ).start()


def _freeze_configuration() -> None:
    advance = _configuration.CurrentConfiguration.advance

    def advance_once(self: Any, configuration: Any) -> bool:
        return configuration.revision == 1 and advance(self, configuration)

    mock.patch.object(
        _configuration.CurrentConfiguration, "advance", advance_once
    ).start()


def _duplicate_stream_items() -> None:
    checked = _runs.StreamingRun._checked

    def checked_with_duplicate(self: Any, source: Any) -> Any:
        for item in checked(self, source):
            yield item
            if getattr(item, "index", None) == 1:
                yield item

    mock.patch.object(
        _runs.StreamingRun, "_checked", checked_with_duplicate
    ).start()


def _admit_all(self: Any, upstream: str) -> Admission:
    del self
    return Admission(upstream=upstream, kind=AdmissionKind.WARM)


def _ignore_cold_starts() -> None:
    gate = _cold_starts.ColdStarts
    mock.patch.object(gate, "admit", _admit_all).start()
    mock.patch.object(gate, "allowance", lambda self, name: None).start()


def _claim_not_executed(self: Any, request: Any, problem: Any) -> Any:
    del request
    return self._refuse(dataclasses.replace(problem, outcome=Outcome.NOT_RUN))


def _allow_every_version(node: Any, available: Any) -> Any:
    del node
    return available


def _rerun_repeated_keys() -> None:
    run_here = _keyed_calls.KeyedCalls._run_here

    def run_again(
        self: Any, call: Any, issued_ms: int, execute: Callable[[], Any]
    ) -> Any:
        runs = []

        def execute_recorded() -> Any:
            runs.append(call)
            return execute()

        result = run_here(self, call, issued_ms, execute_recorded)
        # A refusal with outcome NOT_RUN would violate another statement, since
        # the request did run before.
        return result if runs else execute().alt(_claim_unknown_outcome)

    mock.patch.object(_keyed_calls.KeyedCalls, "_run_here", run_again).start()


def _claim_unknown_outcome(problem: Any) -> Any:
    return dataclasses.replace(problem, outcome=Outcome.UNKNOWN)


# One defect for each statement, in the order of `STATEMENTS`.
DEFECTS: dict[str, Callable[[], None]] = {
    "allowed lists ignored": _patched(
        _table, "_usable_versions", _allow_every_version
    ),
    "withdrawals ignored": _without_fields(withdrawn=frozenset()),
    "session pins ignored": _ignore_session_pins,
    "bills dropped": _patched(
        _ledger.Ledger, "record", lambda self, bill: None
    ),
    "cold starts ignored": _ignore_cold_starts,
    "failure domains out ignored": _without_fields(
        failure_domains_out=frozenset()
    ),
    "a part delivered twice": _duplicate_stream_items,
    "not_run claimed of repeats": _patched(
        _api.CallerApi, "_refuse_repeatable", _claim_not_executed
    ),
    "key history ignored": _rerun_repeated_keys,
    "leaving upstreams ignored": _hide_leaving_flag,
    "shutdown does not wait": _patched(
        _draining.Draining, "may_close", lambda self: True
    ),
    "later revisions ignored": _freeze_configuration,
}


def _run_one(name: str) -> int:
    """Runs the state machine with one defect.

    Returns:
        The exit status: `_CAUGHT`, `_MISSED` or, if something other than the
        oracle failed, `_OTHER`.
    """
    DEFECTS[name]()
    try:
        run_state_machine_as_test(FleetMachine, settings=_SETTINGS)
    except ViolationError as violation:
        print(violation)
        return _CAUGHT
    except BaseException as error:
        print(f"{type(error).__name__}: {error}".splitlines()[0])
        return _OTHER
    return _MISSED


def _run_in_subprocess(name: str) -> tuple[int, str]:
    done = subprocess.run(
        [sys.executable, "-m", "tools.defects", name],
        check=False,
        capture_output=True,
        text=True,
        env=dict(os.environ),
    )
    lines = done.stdout.strip().splitlines()
    return done.returncode, lines[-1] if lines else done.stderr[-200:]


def main() -> int:
    """Runs the defect named on the command line, or all of them."""
    if len(sys.argv) > 1:
        return _run_one(sys.argv[1])
    labels = {_CAUGHT: "caught", _MISSED: "MISSED", _OTHER: "OTHER"}
    all_caught = True
    with concurrent.futures.ThreadPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(_run_in_subprocess, DEFECTS))
    for statement, name, (status, output) in zip(
        STATEMENTS, DEFECTS, results, strict=True
    ):
        is_expected = status == _CAUGHT and output.startswith(statement)
        all_caught = all_caught and is_expected
        print(f"{labels.get(status, 'OTHER'):7} {name}: {output[:100]}")
    return 0 if all_caught else 1


if __name__ == "__main__":
    sys.exit(main())
