"""Puts a defect into each mechanism and shows that the oracle notices.

``python -m tools.defects`` runs every defect in a process of its own and
prints a table; its exit status is 0 only if all of them are caught.
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


def _replaced(target: Any, name: str, new: Any) -> Callable[[], None]:
    return lambda: mock.patch.object(target, name, new).start()


def _stripped(**fields: Any) -> Callable[[], None]:
    """Puts configurations in force without some of their content."""
    advance = _configuration.CurrentConfiguration.advance

    def advance_without(self: Any, configuration: Any) -> bool:
        stripped = dataclasses.replace(configuration, **fields)
        return advance(self, stripped)

    return _replaced(
        _configuration.CurrentConfiguration, "advance", advance_without
    )


def _forget_pins() -> None:
    choose = routing.choose_versions
    numbers = iter(range(1 << 30))

    def choose_freely(*args: Any, **kwargs: Any) -> Any:
        kwargs.update(pins=(), key=str(next(numbers)))
        return choose(*args, **kwargs)

    mock.patch.object(_chat, "choose_versions", choose_freely).start()


def _hide_leaving() -> None:
    record = _directory.UpstreamDirectory.record_report

    def record_staying(self: Any, upstream: str, report: Any) -> None:
        record(self, upstream, dataclasses.replace(report, leaving=False))

    mock.patch.object(
        _directory.UpstreamDirectory, "record_report", record_staying
    ).start()


def _freeze_configuration() -> None:
    advance = _configuration.CurrentConfiguration.advance

    def advance_once(self: Any, configuration: Any) -> bool:
        return configuration.revision == 1 and advance(self, configuration)

    mock.patch.object(
        _configuration.CurrentConfiguration, "advance", advance_once
    ).start()


def _repeat_parts() -> None:
    checked = _runs.StreamingRun._checked

    def repeated(self: Any, source: Any) -> Any:
        for item in checked(self, source):
            yield item
            if getattr(item, "index", None) == 1:
                yield item

    mock.patch.object(_runs.StreamingRun, "_checked", repeated).start()


def _admit_all(self: Any, upstream: str) -> Admission:
    del self
    return Admission(upstream=upstream, kind=AdmissionKind.WARM)


def _ignore_cold_starts() -> None:
    gate = _cold_starts.ColdStarts
    mock.patch.object(gate, "admit", _admit_all).start()
    mock.patch.object(gate, "allowance", lambda self, name: None).start()


def _claim_not_run(self: Any, request: Any, problem: Any) -> Any:
    del request
    return self._refuse(dataclasses.replace(problem, outcome=Outcome.NOT_RUN))


def _any_version(node: Any, available: Any) -> Any:
    del node
    return available


def _run_repeats() -> None:
    run_here = _keyed_calls.KeyedCalls._run_here

    def run_again(
        self: Any, call: Any, issued_ms: int, execute: Callable[[], Any]
    ) -> Any:
        runs = []

        def first() -> Any:
            runs.append(call)
            return execute()

        result = run_here(self, call, issued_ms, first)
        # A refused repeat would break another statement, claiming not to have
        # run what ran before.
        return result if runs else execute().alt(_claim_nothing)

    mock.patch.object(_keyed_calls.KeyedCalls, "_run_here", run_again).start()


def _claim_nothing(problem: Any) -> Any:
    return dataclasses.replace(problem, outcome=Outcome.UNKNOWN)


# A defect for each statement, in the oracle's order.
DEFECTS: dict[str, Callable[[], None]] = {
    "allowed lists ignored": _replaced(
        _table, "_usable_versions", _any_version
    ),
    "withdrawals ignored": _stripped(withdrawn=frozenset()),
    "session pins ignored": _forget_pins,
    "bills dropped": _replaced(
        _ledger.Ledger, "record", lambda self, bill: None
    ),
    "cold starts ignored": _ignore_cold_starts,
    "failure domains out ignored": _stripped(failure_domains_out=frozenset()),
    "a part delivered twice": _repeat_parts,
    "not_run claimed of repeats": _replaced(
        _api.CallerApi, "_refuse_repeatable", _claim_not_run
    ),
    "key history ignored": _run_repeats,
    "leaving upstreams ignored": _hide_leaving,
    "shutdown does not wait": _replaced(
        _draining.Draining, "may_close", lambda self: True
    ),
    "later revisions ignored": _freeze_configuration,
}


def _run_one(name: str) -> int:
    """Runs the state machine with a defect; returns what came of it."""
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


def _run_apart(name: str) -> tuple[int, str]:
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
    """Runs one defect that is named, or all of them."""
    if len(sys.argv) > 1:
        return _run_one(sys.argv[1])
    words = {_CAUGHT: "caught", _MISSED: "MISSED", _OTHER: "OTHER"}
    is_complete = True
    with concurrent.futures.ThreadPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(_run_apart, DEFECTS))
    for statement, name, (status, seen) in zip(
        STATEMENTS, DEFECTS, results, strict=True
    ):
        is_right = status == _CAUGHT and seen.startswith(statement)
        is_complete = is_complete and is_right
        print(f"{words.get(status, 'OTHER'):7} {name}: {seen[:100]}")
    return 0 if is_complete else 1


if __name__ == "__main__":
    sys.exit(main())
