"""Each scenario passes as it stands and fails with the defect it is for."""

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
from trefoilpitch.coldstart.tests.world import (
    SETTINGS,
    UPSTREAM,
    OverloadError,
    World,
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
    # The other functions of the module have to stay shared.
    exec(compile(code, defect.function, "exec"), namespace)
    replacement = namespace[defect.function]
    for module in MODULES:
        if getattr(module, defect.function, None) is original:
            monkeypatch.setattr(module, defect.function, replacement)


def ranking(size: int = 4, upstream: Upstream = UPSTREAM) -> list[str]:
    """Returns the VMs in the order in which they are gatekeeper."""
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


def create_world() -> World:
    """Returns a world whose first gatekeeper is acting and not asked yet."""
    world = World(seed=1)
    world.durations_ms = (SETTINGS.max_work_ms,)
    for process in world.processes.values():
        process.lag_ms = 0
    world.run(SETTINGS.takeover_ms + SETTINGS.report_lag_ms + 1_400)
    return world


def crash_with_grant_under_way() -> World:
    """The old gatekeeper's grant arrives while the next one begins."""
    world = create_world()
    first, second, third, _ = ranking()
    world.network.set_faults(
        Link(first, third), LinkFaults(min_delay_ms=800, max_delay_ms=800)
    )
    world.want(third, 8)
    world.run(100)
    world.crash(first)
    world.want(second, 8)
    world.run(2_000)
    return world


def grant_that_arrives_late() -> World:
    """A holder keeps a late grant until a new gatekeeper has taken over."""
    world = create_world()
    first, second, third, _ = ranking()
    world.processes[first].lag_ms = 540
    world.processes[third].lag_ms = 540
    link = Link(first, third)
    delay = LinkFaults(min_delay_ms=900, max_delay_ms=900)
    # The second takes the first for gone; the others have not heard of it.
    world.partition({first})
    world.network.heal()
    world.network.set_faults(link, delay)
    world.run(400)
    # The grant arrives within its validity, but the work is held back.
    world.processes[third].pause_work = True
    world.want(third, 8)
    world.want(second, 8)
    world.run(1_900)
    world.processes[third].pause_work = False
    world.run(200)
    return world


def holder_pauses_with_credits() -> World:
    """A holder is paused with credits while the gatekeeper is replaced."""
    world = create_world()
    first, second, third, _ = ranking()
    # Without reports, credits are for whatever incarnation is running.
    world.report_loss = 1.0
    world.run(600)
    world.processes[third].pause_work = True
    world.want(third, 8)
    world.run(200)
    waking_ms = SETTINGS.takeover_ms + SETTINGS.max_work_ms + 560
    world.pause(third, waking_ms, is_noticed=False)
    world.crash(first)
    world.want(second, 8)
    world.processes[third].pause_work = False
    world.run(waking_ms + 400)
    return world


def gatekeeper_pauses() -> World:
    """A gatekeeper wakes after another one has taken over."""
    world = create_world()
    first, second, third, _ = ranking()
    world.processes[third].lag_ms = 0
    # It wakes so that it hears a holder before it takes its next view.
    world.pause(first, 3_030, is_noticed=True)
    world.run(2_000)
    world.want(second, 8)
    world.run(1_000)
    world.want(third, 8)
    world.run(600)
    return world


def long_work() -> World:
    """Work runs longer than the credits are valid."""
    world = create_world()
    _, second, third, _ = ranking()
    world.want(second, 8)
    world.run(1_500)
    world.want(third, 8)
    world.run(400)
    return world


def long_work_unheard() -> World:
    """Long work of a holder whose messages no longer arrive."""
    world = create_world()
    first, second, third, _ = ranking()
    world.want(second, 8)
    world.run(60)
    link = Link(second, first)
    world.network.set_faults(link, LinkFaults(cut=True))
    world.run(1_200)
    world.want(third, 8)
    world.run(400)
    return world


def work_beyond_its_limit() -> World:
    """Work runs for longer than work may run unheard."""
    world = create_world()
    world.durations_ms = (3 * SETTINGS.max_work_ms,)
    _, second, third, _ = ranking()
    world.want(second, 8)
    world.run(SETTINGS.release_ms + 600)
    world.want(third, 8)
    world.run(400)
    return world


def fleet_splits() -> World:
    """One VM is cut off from the others but not from the upstream."""
    world = create_world()
    first, second, _, _ = ranking()
    world.partition({first})
    world.run(4_000)
    world.want(first, 8)
    world.want(second, 8)
    world.run(400)
    return world


def warm_engine_restarts() -> World:
    """A warm engine restarts while a VM gets no reports."""
    world = create_world()
    _, second, third, _ = ranking()
    world.durations_ms = (40,)
    for _ in range(40):
        world.want(second, 4)
        world.want(third, 4)
        world.run(100)
    assert world.engine.is_warm
    world.durations_ms = (SETTINGS.max_work_ms,)
    world.report_loss = 1.0
    world.restart_engine(640)
    world.run(700)
    world.want(third, 8)
    world.run(100)
    return world


def engine_restarts_with_credits_held() -> World:
    """A credit outlives the incarnation of the engine that it is for."""
    world = create_world()
    _, second, third, _ = ranking()
    world.processes[third].pause_work = True
    world.want(third, 8)
    world.run(100)
    world.restart_engine(640)
    world.run(740)
    world.want(second, 8)
    world.run(100)
    world.processes[third].pause_work = False
    world.run(100)
    return world


def ramped_engine_restarts() -> World:
    """The engine restarts half way up its ramp."""
    world = create_world()
    _, second, _, _ = ranking()
    world.durations_ms = (40,)
    world.want(second, 8)
    world.run(400)
    assert world.engine.successes
    world.durations_ms = (SETTINGS.max_work_ms,)
    world.restart_engine(640)
    world.run(1_000)
    world.want(second, 8)
    world.run(400)
    return world


def gatekeeper_crashes_under_load() -> World:
    """Work of the old gatekeeper's credits runs on after it is gone."""
    world = create_world()
    first, second, third, _ = ranking()
    world.want(third, 8)
    world.run(100)
    world.want(second, 8)
    world.processes[third].waiting = 0
    world.run(1_000)
    world.crash(first)
    world.run(2_600)
    return world


def leaves_under_load() -> World:
    """A gatekeeper hands over while work of its credits is running."""
    world = create_world()
    first, second, third, _ = ranking()
    world.want(third, 8)
    world.run(200)
    world.processes[third].waiting = 0
    world.want(second, 8)
    world.leave(first)
    world.run(800)
    return world


def leaves_with_credits_held() -> World:
    """A gatekeeper hands over while its credits are not used yet."""
    world = create_world()
    first, second, third, _ = ranking()
    world.want(second, 8)
    world.run(60)
    world.processes[third].pause_work = True
    world.want(third, 8)
    world.run(60)
    world.leave(first)
    world.run(740)
    world.processes[third].pause_work = False
    world.run(100)
    return world


def callers_leave() -> World:
    """Work runs on although nobody waits for it any more."""
    world = create_world()
    _, second, third, _ = ranking()
    world.want(second, 8)
    world.run(200)
    world.processes[second].waiting = 0
    world.abandon_work(second)
    world.want(third, 8)
    world.run(1_000)
    return world


def callers_leave_at_once() -> World:
    """Callers leave so soon that reports don't show their work yet."""
    world = create_world()
    _, second, third, _ = ranking()
    world.want(second, 8)
    while not world.engine.running:
        world.run(20)
    world.processes[second].waiting = 0
    world.abandon_work(second)
    world.want(third, 8)
    world.run(1_000)
    return world


def callers_leave_long_work() -> World:
    """Work that was left runs for longer than work may run unheard."""
    world = create_world()
    world.durations_ms = (3 * SETTINGS.max_work_ms,)
    _, second, third, _ = ranking()
    world.want(second, 8)
    world.run(200)
    world.processes[second].waiting = 0
    world.abandon_work(second)
    world.run(SETTINGS.release_ms + 600)
    world.want(third, 8)
    world.run(400)
    return world


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
    "_answer",
    "state.settings.release_ms",
    "state.settings.validity_ms",
)
HELD_IGNORED = Defect(_ledger, "settle", "elif ref in held:", "elif False:")
HELD_NOT_RENEWED = Defect(
    _ledger,
    "settle",
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
INHERITED_IGNORED = Defect(
    _ledger,
    "take_report",
    "return _inherit(ledger, running, release_ms)",
    "return _inherit(ledger, 0, release_ms)",
)

HANDED_OVER_IGNORED = Defect(
    _ledger,
    "part",
    "credits=_hand_over(ledger)",
    "credits=()",
)
HANDED_OVER_RELEASED = Defect(
    _ledger, "take_over", "now_ms + settings.release_ms", "now_ms"
)
LEFT_RELEASED = Defect(_holder, "_end_work", "event.may_run", "False")
LEFT_SEEN_TOO_SOON = Defect(
    _account, "release_left", "work.left_ms <= seen_ms", "True"
)
LEFT_NOT_RENEWED = Defect(
    _account,
    "release_left",
    "max(work.release_ms, release_ms)",
    "work.release_ms",
)

CASES: list[tuple[Callable[[], World], Defect]] = [
    (crash_with_grant_under_way, TAKEOVER),
    (grant_that_arrives_late, EXPIRY_FROM_RECEIPT),
    (holder_pauses_with_credits, NO_EXPIRY),
    (gatekeeper_pauses, STALE_VIEW),
    (long_work_unheard, EARLY_RELEASE),
    (long_work, HELD_IGNORED),
    (work_beyond_its_limit, HELD_NOT_RENEWED),
    (fleet_splits, NO_QUORUM),
    (warm_engine_restarts, REPORT_AGE_IGNORED),
    (engine_restarts_with_credits_held, ANY_INCARNATION),
    (ramped_engine_restarts, RAMP_KEPT),
    (gatekeeper_crashes_under_load, INHERITED_IGNORED),
    (leaves_under_load, HANDED_OVER_IGNORED),
    (leaves_with_credits_held, HANDED_OVER_RELEASED),
    (callers_leave, LEFT_RELEASED),
    (callers_leave_at_once, LEFT_SEEN_TOO_SOON),
    (callers_leave_long_work, LEFT_NOT_RENEWED),
]


@pytest.mark.parametrize(("scenario", "defect"), CASES)
def test_defect_is_caught(
    scenario: Callable[[], World],
    defect: Defect,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert scenario().engine.peak > 0
    introduce(defect, monkeypatch)
    with pytest.raises(OverloadError):
        scenario()
