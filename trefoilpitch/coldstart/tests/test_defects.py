"""Checks that the scenarios detect defects.

Each scenario passes on the unchanged code, and fails once its defect is
introduced into the source of a function.
"""

import dataclasses
import inspect
import textwrap
from collections.abc import Callable
from types import ModuleType

import pytest

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart import (
    _account,
    _gatekeeper,
    _gatekeeper_state,
    _handover,
    _holder,
    _ledger,
    _ramp,
    _rendezvous,
    _requests,
    _tenure,
    _warmth,
    choose_gatekeeper,
)
from trefoilpitch.coldstart.tests.simulation import (
    SETTINGS,
    UPSTREAM,
    OverloadError,
    Simulation,
    create_member,
)
from trefoilpitch.membership import MembershipView, MemberState
from trefoilpitch.peering import Link, LinkFaults

MODULES = (
    _account,
    _gatekeeper,
    _gatekeeper_state,
    _handover,
    _holder,
    _ledger,
    _ramp,
    _rendezvous,
    _requests,
    _tenure,
    _warmth,
)


@dataclasses.dataclass(frozen=True)
class Defect:
    """A change to the source of one function."""

    module: ModuleType
    function: str
    old: str
    new: str


def introduce(defect: Defect, monkeypatch: pytest.MonkeyPatch) -> None:
    original = getattr(defect.module, defect.function)
    source = textwrap.dedent(inspect.getsource(original))
    assert source.count(defect.old) == 1
    changed = source.replace(defect.old, defect.new)
    code = "from __future__ import annotations\n" + changed
    namespace = dict(vars(defect.module))
    # The other functions of the module have to stay the same objects.
    exec(compile(code, defect.function, "exec"), namespace)
    replacement = namespace[defect.function]
    for module in MODULES:
        if getattr(module, defect.function, None) is original:
            monkeypatch.setattr(module, defect.function, replacement)


def ranking(size: int = 4, upstream: Upstream = UPSTREAM) -> list[str]:
    """Returns the VMs in the order in which they become gatekeeper."""
    names = [f"vm{index}" for index in range(size)]
    order: list[str] = []
    while names:
        members = tuple(
            create_member(name, "1", MemberState.ALIVE) for name in names
        )
        view = MembershipView(
            own_name=names[0],
            members=members,
            as_of_ms=0,
            last_contact_ms=None,
            is_settled=True,
        )
        chosen = choose_gatekeeper(view, upstream, SETTINGS)
        assert chosen is not None
        order.append(chosen.name)
        names.remove(chosen.name)
    return order


def create_simulation() -> Simulation:
    """Returns a simulation whose gatekeeper acts but had no request yet."""
    simulation = Simulation(seed=1)
    simulation.durations_ms = (SETTINGS.max_work_ms,)
    for process in simulation.processes.values():
        process.lag_ms = 0
    simulation.run(SETTINGS.takeover_ms + SETTINGS.report_lag_ms + 1_400)
    return simulation


def crash_with_grant_in_flight() -> Simulation:
    """The old gatekeeper's grant arrives while the next tenure begins."""
    simulation = create_simulation()
    first, second, third, _ = ranking()
    simulation.network.set_faults(
        Link(first, third), LinkFaults(min_delay_ms=800, max_delay_ms=800)
    )
    simulation.add_waiting(third, 8)
    simulation.run(100)
    simulation.crash(first)
    simulation.add_waiting(second, 8)
    simulation.run(2_000)
    return simulation


def grant_that_arrives_late() -> Simulation:
    """A holder keeps a late grant until a new gatekeeper has taken over."""
    simulation = create_simulation()
    first, second, third, _ = ranking()
    simulation.processes[first].lag_ms = 540
    simulation.processes[third].lag_ms = 540
    link = Link(first, third)
    delay = LinkFaults(min_delay_ms=900, max_delay_ms=900)
    # The second VM observes the first as gone; the others don't yet.
    simulation.partition({first})
    simulation.network.heal()
    simulation.network.set_faults(link, delay)
    simulation.run(400)
    # The grant arrives within its validity, but its work is held back.
    simulation.processes[third].pause_work = True
    simulation.add_waiting(third, 8)
    simulation.add_waiting(second, 8)
    simulation.run(1_900)
    simulation.processes[third].pause_work = False
    simulation.run(200)
    return simulation


def holder_pauses_with_credits() -> Simulation:
    """A holder is paused with credits while the gatekeeper is replaced."""
    simulation = create_simulation()
    first, second, third, _ = ranking()
    # Without reports, credits are valid for any incarnation of the upstream.
    simulation.report_loss = 1.0
    simulation.run(600)
    simulation.processes[third].pause_work = True
    simulation.add_waiting(third, 8)
    simulation.run(200)
    waking_ms = SETTINGS.takeover_ms + SETTINGS.max_work_ms + 560
    simulation.pause(third, waking_ms, is_noticed=False)
    simulation.crash(first)
    simulation.add_waiting(second, 8)
    simulation.processes[third].pause_work = False
    simulation.run(waking_ms + 400)
    return simulation


def gatekeeper_pauses() -> Simulation:
    """A gatekeeper resumes after another one has taken over."""
    simulation = create_simulation()
    first, second, third, _ = ranking()
    simulation.processes[third].lag_ms = 0
    # It resumes in time to receive a request before it observes its next view.
    simulation.pause(first, 3_030, is_noticed=True)
    simulation.run(2_000)
    simulation.add_waiting(second, 8)
    simulation.run(1_000)
    simulation.add_waiting(third, 8)
    simulation.run(600)
    return simulation


def long_work() -> Simulation:
    """Work runs longer than the credits are valid."""
    simulation = create_simulation()
    _, second, third, _ = ranking()
    simulation.add_waiting(second, 8)
    simulation.run(1_500)
    simulation.add_waiting(third, 8)
    simulation.run(400)
    return simulation


def long_work_of_unreachable_holder() -> Simulation:
    """Work runs longer than credits are valid; its holder is unreachable."""
    simulation = create_simulation()
    first, second, third, _ = ranking()
    simulation.add_waiting(second, 8)
    simulation.run(60)
    link = Link(second, first)
    simulation.network.set_faults(link, LinkFaults(cut=True))
    simulation.run(1_200)
    simulation.add_waiting(third, 8)
    simulation.run(400)
    return simulation


def work_beyond_its_limit() -> Simulation:
    """Work runs longer than ``max_work_ms``, with its holder reachable."""
    simulation = create_simulation()
    simulation.durations_ms = (3 * SETTINGS.max_work_ms,)
    _, second, third, _ = ranking()
    simulation.add_waiting(second, 8)
    simulation.run(SETTINGS.release_ms + 600)
    simulation.add_waiting(third, 8)
    simulation.run(400)
    return simulation


def fleet_is_partitioned() -> Simulation:
    """One VM is partitioned from the others but not from the upstream."""
    simulation = create_simulation()
    first, second, _, _ = ranking()
    simulation.partition({first})
    simulation.run(4_000)
    simulation.add_waiting(first, 8)
    simulation.add_waiting(second, 8)
    simulation.run(400)
    return simulation


def warm_engine_restarts() -> Simulation:
    """A warm engine restarts while a VM gets no reports."""
    simulation = create_simulation()
    _, second, third, _ = ranking()
    simulation.durations_ms = (40,)
    for _ in range(40):
        simulation.add_waiting(second, 4)
        simulation.add_waiting(third, 4)
        simulation.run(100)
    assert simulation.engine.is_warm
    simulation.durations_ms = (SETTINGS.max_work_ms,)
    simulation.report_loss = 1.0
    simulation.restart_engine(640)
    simulation.run(700)
    simulation.add_waiting(third, 8)
    simulation.run(100)
    return simulation


def engine_restarts_with_credits_held() -> Simulation:
    """A credit is used after a restart of the engine that it is valid for."""
    simulation = create_simulation()
    _, second, third, _ = ranking()
    simulation.processes[third].pause_work = True
    simulation.add_waiting(third, 8)
    simulation.run(100)
    simulation.restart_engine(640)
    simulation.run(740)
    simulation.add_waiting(second, 8)
    simulation.run(100)
    simulation.processes[third].pause_work = False
    simulation.run(100)
    return simulation


def ramped_engine_restarts() -> Simulation:
    """The engine restarts half-way through its ramp."""
    simulation = create_simulation()
    _, second, _, _ = ranking()
    simulation.durations_ms = (40,)
    simulation.add_waiting(second, 8)
    simulation.run(400)
    assert simulation.engine.successes
    simulation.durations_ms = (SETTINGS.max_work_ms,)
    simulation.restart_engine(640)
    simulation.run(1_000)
    simulation.add_waiting(second, 8)
    simulation.run(400)
    return simulation


def gatekeeper_crashes_under_load() -> Simulation:
    """Work on the old gatekeeper's credits continues after it crashed."""
    simulation = create_simulation()
    first, second, third, _ = ranking()
    simulation.add_waiting(third, 8)
    simulation.run(100)
    simulation.add_waiting(second, 8)
    simulation.processes[third].waiting = 0
    simulation.run(1_000)
    simulation.crash(first)
    simulation.run(2_600)
    return simulation


def leaves_under_load() -> Simulation:
    """A gatekeeper hands over while work on its credits is running."""
    simulation = create_simulation()
    first, second, third, _ = ranking()
    simulation.add_waiting(third, 8)
    simulation.run(200)
    simulation.processes[third].waiting = 0
    simulation.add_waiting(second, 8)
    simulation.leave(first)
    simulation.run(800)
    return simulation


def leaves_with_credits_held() -> Simulation:
    """A gatekeeper hands over while its credits are not used yet."""
    simulation = create_simulation()
    first, second, third, _ = ranking()
    simulation.add_waiting(second, 8)
    simulation.run(60)
    simulation.processes[third].pause_work = True
    simulation.add_waiting(third, 8)
    simulation.run(60)
    simulation.leave(first)
    simulation.run(740)
    simulation.processes[third].pause_work = False
    simulation.run(100)
    return simulation


def callers_disconnect() -> Simulation:
    """Work continues after its callers have disconnected."""
    simulation = create_simulation()
    _, second, third, _ = ranking()
    simulation.add_waiting(second, 8)
    simulation.run(200)
    simulation.processes[second].waiting = 0
    simulation.abandon_work(second)
    simulation.add_waiting(third, 8)
    simulation.run(1_000)
    return simulation


def callers_disconnect_at_once() -> Simulation:
    """Callers disconnect before reports show their work."""
    simulation = create_simulation()
    _, second, third, _ = ranking()
    simulation.add_waiting(second, 8)
    while not simulation.engine.running:
        simulation.run(20)
    simulation.processes[second].waiting = 0
    simulation.abandon_work(second)
    simulation.add_waiting(third, 8)
    simulation.run(1_000)
    return simulation


def callers_disconnect_from_long_work() -> Simulation:
    """Abandoned work runs longer than ``max_work_ms``."""
    simulation = create_simulation()
    simulation.durations_ms = (3 * SETTINGS.max_work_ms,)
    _, second, third, _ = ranking()
    simulation.add_waiting(second, 8)
    simulation.run(200)
    simulation.processes[second].waiting = 0
    simulation.abandon_work(second)
    simulation.run(SETTINGS.release_ms + 600)
    simulation.add_waiting(third, 8)
    simulation.run(400)
    return simulation


TAKEOVER = Defect(
    _ledger, "begin_tenure", "now_ms + settings.takeover_ms", "now_ms"
)
EXPIRY_FROM_RECEIPT = Defect(
    _holder, "_accept_grant", "pending.sent_ms + grant", "now_ms + grant"
)
NO_EXPIRY = Defect(
    _account, "_is_usable", "now_ms >= credit.expires_ms", "False"
)
STALE_VIEW = Defect(
    _gatekeeper_state,
    "is_acting",
    "age_ms <= state.settings.view_age_limit_ms",
    "True",
)
EARLY_RELEASE = Defect(
    _gatekeeper,
    "_handle_credit_request",
    "state.settings.release_ms",
    "state.settings.validity_ms",
)
HELD_IGNORED = Defect(
    _ledger, "release_unheld", "elif ref in held:", "elif False:"
)
HELD_NOT_RENEWED = Defect(
    _ledger,
    "release_unheld",
    "dataclasses.replace(credit, release_ms=release_ms)",
    "credit",
)
NO_QUORUM = Defect(
    _rendezvous, "_create_scope", "2 * len(present) > expected", "True"
)
REPORT_AGE_IGNORED = Defect(
    _warmth,
    "current_incarnation",
    "now_ms - warmth.report_ms > settings.report_age_limit_ms",
    "False",
)
ANY_INCARNATION = Defect(
    _account,
    "_is_usable",
    "credit.upstream_incarnation in (UNKNOWN_INCARNATION, incarnation)",
    "True",
)
RAMP_KEPT = Defect(
    _ledger, "_change_incarnation", "successes=0", "successes=ledger.successes"
)
UNTRACKED_IGNORED = Defect(
    _ledger,
    "apply_report",
    "return _with_untracked(ledger, running, release_ms)",
    "return _with_untracked(ledger, 0, release_ms)",
)

HANDED_OVER_IGNORED = Defect(
    _ledger,
    "end_tenure_for_handover",
    "credits=_credits_to_hand_over(ledger)",
    "credits=()",
)
HANDED_OVER_RELEASED = Defect(
    _ledger, "apply_handover", "now_ms + settings.release_ms", "now_ms"
)
ABANDONED_RELEASED = Defect(_holder, "_end_work", "event.may_run", "False")
ABANDONED_SEEN_TOO_SOON = Defect(
    _account, "release_abandoned", "work.abandoned_ms <= seen_ms", "True"
)
ABANDONED_NOT_RENEWED = Defect(
    _account,
    "release_abandoned",
    "max(work.release_ms, release_ms)",
    "work.release_ms",
)

CASES: list[tuple[Callable[[], Simulation], Defect]] = [
    (crash_with_grant_in_flight, TAKEOVER),
    (grant_that_arrives_late, EXPIRY_FROM_RECEIPT),
    (holder_pauses_with_credits, NO_EXPIRY),
    (gatekeeper_pauses, STALE_VIEW),
    (long_work_of_unreachable_holder, EARLY_RELEASE),
    (long_work, HELD_IGNORED),
    (work_beyond_its_limit, HELD_NOT_RENEWED),
    (fleet_is_partitioned, NO_QUORUM),
    (warm_engine_restarts, REPORT_AGE_IGNORED),
    (engine_restarts_with_credits_held, ANY_INCARNATION),
    (ramped_engine_restarts, RAMP_KEPT),
    (gatekeeper_crashes_under_load, UNTRACKED_IGNORED),
    (leaves_under_load, HANDED_OVER_IGNORED),
    (leaves_with_credits_held, HANDED_OVER_RELEASED),
    (callers_disconnect, ABANDONED_RELEASED),
    (callers_disconnect_at_once, ABANDONED_SEEN_TOO_SOON),
    (callers_disconnect_from_long_work, ABANDONED_NOT_RENEWED),
]


@pytest.mark.parametrize(("scenario", "defect"), CASES)
def test_defect_is_caught(
    scenario: Callable[[], Simulation],
    defect: Defect,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert scenario().engine.peak > 0
    introduce(defect, monkeypatch)
    with pytest.raises(OverloadError):
        scenario()
