"""Decisions of the request path, each under the load that it answers."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import (
    Document,
    FleetView,
    ItemBatch,
    OperationKind,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    UpstreamEntry,
    UpstreamState,
    Workspace,
)
from trefoilpitch.fleet.tests.fakes import (
    InMemoryCodec,
    configuration,
    route,
    upstream,
)
from trefoilpitch.gateway import CallerRequest, HttpRequest, PrefixPart
from trefoilpitch.gateway._admission import Admitted, Rejection, admit
from trefoilpitch.gateway._cold_share import ColdShare, share_per_window
from trefoilpitch.gateway._dispatcher import Dispatcher, NoUpstream
from trefoilpitch.gateway._health import LoadReport, PaceBook, UpstreamHealth
from trefoilpitch.gateway._model_tiers import (
    AnswerSize,
    BegunAnswer,
    ModelChoice,
)
from trefoilpitch.gateway._refusals import RETRY_SOON_MS, retry_after_ms
from trefoilpitch.gateway._rollouts import (
    CANARY_PERCENT,
    VersionEvidence,
    is_bad,
    next_step,
    runs_on_target,
)
from trefoilpitch.gateway._tries import (
    Tries,
    answer_timeout_ms,
    may_try_again,
)
from trefoilpitch.retries import Execution, FailureKind


def _request(request_id: str = "id", **fields: object) -> CallerRequest:
    values: dict[str, object] = {
        "http": HttpRequest(
            method=b"GET", target=b"/a/x", headers=(), body=b"", arrived_ms=0
        ),
        "request_id": request_id,
        "host": "host.example",
        "path": "/a/x",
        "api_key": "key",
        "wait_ms": 1_000,
    }
    return CallerRequest(**{**values, **fields})  # type: ignore[arg-type]


class _Fleet:
    def __init__(self, members: int = 1) -> None:
        self.codec = InMemoryCodec()
        self.clock = ManualClock(10_000)
        self.view = FleetView(self.codec, lambda change: None)
        self.revision = 0
        self.peers_in_flight: dict[str, int] = {}
        names = {f"node-{number}" for number in range(members)}
        self.dispatchers = [
            Dispatcher(
                self.view,
                self.clock,
                random.Random(number),
                own_name=name,
                failure_domain="domain-a",
                members=lambda: names,
                peers_in_flight=lambda: self.peers_in_flight,
            )
            for number, name in enumerate(sorted(names))
        ]
        self.put("config", configuration())

    def put(self, key: str, document: Document) -> int:
        self.revision += 1
        item = self.codec.item(key, document, self.revision)
        batch = ItemBatch(items=(item,), revision=self.revision)
        self.view.apply(batch, self.clock.now_ms())
        return self.revision

    def choose(
        self, request: CallerRequest | None = None, node: int = 0
    ) -> UpstreamEntry | NoUpstream:
        return self.dispatchers[node].choose(
            request or _request(), "s", model=None, excluded=()
        )

    def chosen(
        self, request: CallerRequest | None = None, node: int = 0
    ) -> str | None:
        found = self.choose(request, node)
        return None if isinstance(found, NoUpstream) else found.upstream_id


def test_unknown_is_not_denied_while_a_configuration_may_be_missing() -> None:
    known = configuration()
    stranger = _request(api_key="new")
    assert admit(stranger, known, current=True) is Rejection.UNKNOWN_KEY
    late = admit(stranger, known, current=False)
    assert late is Rejection.UNKNOWN_CONFIGURATION
    nowhere = _request(path="/new/x")
    assert admit(nowhere, known, current=True) is Rejection.UNKNOWN_ROUTE
    late = admit(nowhere, known, current=False)
    assert late is Rejection.UNKNOWN_CONFIGURATION
    none = admit(_request(), None, current=True)
    assert none is Rejection.UNKNOWN_CONFIGURATION


def test_workspace_priority_goes_before_the_routes() -> None:
    known = configuration(
        workspaces_by_key={"key": Workspace(name="w", priority=0)}
    )
    admitted = admit(_request(), known, current=True)
    assert isinstance(admitted, Admitted)
    assert (admitted.workspace, admitted.priority) == ("w", 0)


def test_public_route_needs_no_key() -> None:
    known = configuration(routes=(route(public=True),))
    admitted = admit(_request(api_key=None), known, current=True)
    assert isinstance(admitted, Admitted)
    assert admitted.workspace is None


def test_model_of_tiers_is_the_routers_to_choose() -> None:
    known = configuration(routes=(route(model_tiers=("m0", "m2")),))
    named = _request(model="m2")
    assert admit(named, known, current=True) is Rejection.MODEL_NOT_ALLOWED
    free = admit(_request(any_model=True), known, current=True)
    assert isinstance(free, Admitted)


@pytest.mark.parametrize("members", [1, 2, 6, 9, 40, 79])
@pytest.mark.parametrize("rate", [1.0, 5.0, 12.0, 120.0])
def test_shares_of_a_cold_upstream_sum_to_its_rate(
    members: int, rate: float
) -> None:
    names = [f"node-{number}" for number in range(members)]
    shares = [share_per_window("u", rate, name, names) for name in names]
    assert 0 < sum(shares) <= rate


def test_cold_upstreams_get_no_more_than_they_bear_from_all_nodes() -> None:
    """All upstreams of a domain return cold while every node has work."""
    fleet = _Fleet(members=6)
    for number in range(4):
        fleet.put(f"u{number}", upstream(f"u{number}", cold_left_ms=5_000))
    arrivals: list[tuple[int, str]] = []
    for _ in range(40):
        fleet.clock.advance(50)
        for node in range(6):
            for _ in range(5):
                chosen = fleet.chosen(node=node)
                if chosen:
                    arrivals.append((fleet.clock.now_ms(), chosen))
    for end, name in arrivals:
        window = [
            at for at, u in arrivals if u == name and end - 1_000 < at <= end
        ]
        assert len(window) <= 12
    assert len(arrivals) > 40


def test_cold_share_forgets_after_a_second() -> None:
    share = ColdShare()
    share.record("u", 0)
    assert share.used("u", 999) == 1
    assert share.used("u", 1_000) == 0


def test_draining_and_evacuated_upstreams_get_nothing() -> None:
    fleet = _Fleet()
    fleet.put("u", upstream("u", state=UpstreamState.DRAINING))
    assert fleet.chosen() is None
    fleet.put("x", upstream("x", failure_domain="domain-b"))
    assert fleet.chosen() == "x"
    fleet.view.evacuated.add("domain-b")
    assert fleet.chosen() is None


def test_request_that_nobody_can_serve_is_not_held() -> None:
    """Every upstream of the service is gone, or all are only busy."""
    fleet = _Fleet()
    gone = fleet.choose()
    assert isinstance(gone, NoUpstream)
    assert not gone.may_pass
    fleet.put("u", upstream("u", slots=1))
    fleet.peers_in_flight = {"u": 50}
    busy = fleet.choose()
    assert isinstance(busy, NoUpstream)
    assert busy.may_pass


def test_upstream_that_refuses_connections_is_left_alone_then_tried() -> None:
    fleet = _Fleet()
    fleet.put("u", upstream("u"))
    health = fleet.dispatchers[0].health("u")
    health.record_failure(fleet.clock.now_ms(), unreachable=True)
    assert fleet.chosen() is None
    fleet.clock.advance(1_000)
    assert fleet.chosen() == "u"
    health.in_flight = 1
    assert fleet.chosen() is None


def test_failing_upstream_loses_its_requests_to_the_others() -> None:
    """Half of the upstreams fail two requests in five, health good."""
    fleet = _Fleet()
    for number in range(4):
        fleet.put(f"u{number}", upstream(f"u{number}"))
    counts: Counter[str | None] = Counter()
    rng = random.Random(1)
    for _ in range(400):
        fleet.clock.advance(20)
        chosen = fleet.chosen()
        counts[chosen] += 1
        if chosen is None:
            continue
        health = fleet.dispatchers[0].health(chosen)
        if chosen in ("u0", "u1") and rng.random() < 0.4:
            health.record_failure(fleet.clock.now_ms(), unreachable=False)
        else:
            health.record_success(1.0, fleet.clock.now_ms())
    assert counts["u0"] + counts["u1"] < 0.2 * counts.total()


def test_slow_upstream_gets_less() -> None:
    fleet = _Fleet()
    fleet.put("slow", upstream("slow"))
    fleet.put("usual", upstream("usual"))
    for _ in range(30):
        health = fleet.dispatchers[0].health("slow")
        health.record_success(8.0, fleet.clock.now_ms())
    assert {fleet.chosen() for _ in range(50)} == {"usual"}


def test_hot_prefix_does_not_pile_up_on_its_home() -> None:
    """One prompt prefix gets all of the traffic."""
    fleet = _Fleet()
    for number in range(6):
        fleet.put(f"u{number}", upstream(f"u{number}"))
    prefix = (
        PrefixPart(part_id="shared", tokens=5_000),
        PrefixPart(part_id="own", tokens=10),
    )
    counts: Counter[str] = Counter()
    for number in range(120):
        request = _request(f"id-{number}", prefix=prefix, model="m")
        chosen = fleet.chosen(request)
        assert chosen is not None
        counts[chosen] += 1
        fleet.dispatchers[0].health(chosen).in_flight += 1
    assert len(counts) == 6
    first, second = (count for _, count in counts.most_common(2))
    assert second < first < 80


def test_prefix_has_the_same_home_on_every_node() -> None:
    fleet = _Fleet(members=6)
    for number in range(6):
        fleet.put(f"u{number}", upstream(f"u{number}"))
    for key in range(20):
        prefix = (
            PrefixPart(part_id=f"shared-{key}", tokens=5_000),
            PrefixPart(part_id="own", tokens=10),
        )
        request = _request(prefix=prefix, model="m")
        homes = {fleet.chosen(request, node) for node in range(6)}
        assert len(homes) == 1


def test_old_report_is_corrected_by_own_requests() -> None:
    health = UpstreamHealth()
    health.in_flight = 2
    report = LoadReport(running=10, waiting=1, slots=64)
    health.record_report(report, 1_000)
    health.in_flight = 5
    assert health.load(1_300) == 14
    assert health.load(9_000) == 5
    assert health.load(1_300, peers_in_flight=4) == 14
    assert health.load(1_300, peers_in_flight=20) == 25
    assert health.load(9_000, peers_in_flight=4) == 9


def test_requests_of_the_other_daemons_count() -> None:
    """Too few upstreams: each daemon alone sees only its own requests."""
    fleet = _Fleet()
    fleet.put("busy", upstream("busy"))
    fleet.put("idle", upstream("idle"))
    fleet.peers_in_flight = {"busy": 12}
    assert {fleet.chosen() for _ in range(50)} == {"idle"}


def test_pace_book_follows_the_median() -> None:
    book = PaceBook()
    assert book.ratio("w", 100.0) is None
    for _ in range(200):
        book.ratio("w", 100.0)
        book.ratio("w", 100.0)
        book.ratio("w", 2_000.0)
    assert 80 < book.usual_ms("w", 0.0) < 130
    assert book.usual_ms("unknown", 7.0) == 7.0


@pytest.mark.parametrize(
    ("usual_ms", "latency_ms", "expected"),
    [(1, 5, False), (1, 40, True), (40, 100, False), (40, 320, True)],
)
def test_some_milliseconds_more_are_not_slow(
    usual_ms: float, latency_ms: float, expected: bool
) -> None:
    book = PaceBook()
    book.ratio("w", usual_ms)
    assert book.is_slow("w", latency_ms) is expected
    assert not book.is_slow("unknown", latency_ms)


_ONCE = route(kind=OperationKind.NON_IDEMPOTENT, max_attempts=3)
_REPEATABLE = route(max_attempts=2)
_STREAM = route(kind=OperationKind.STREAM, max_attempts=3)
_RESUMABLE = route(kind=OperationKind.STREAM, max_attempts=3, resumable=True)


@pytest.mark.parametrize(
    ("kind_of_route", "failures", "expected"),
    [
        (_ONCE, [FailureKind.CONNECT_REFUSED], True),
        (_ONCE, [FailureKind.REFUSED_NOT_RUN], True),
        (_ONCE, [FailureKind.CONNECTION_LOST], False),
        (_ONCE, [FailureKind.RESPONSE_TIMEOUT], False),
        (_ONCE, [FailureKind.SERVER_ERROR], False),
        (_STREAM, [FailureKind.RESPONSE_TRUNCATED], False),
        (_RESUMABLE, [FailureKind.RESPONSE_TRUNCATED], True),
        (_RESUMABLE, [FailureKind.RESPONSE_TRUNCATED] * 3, False),
        (_REPEATABLE, [FailureKind.SERVER_ERROR], True),
        (_REPEATABLE, [FailureKind.SERVER_ERROR] * 2, False),
        (_REPEATABLE, [FailureKind.CONNECT_REFUSED] * 4, True),
        (_REPEATABLE, [FailureKind.CONNECT_REFUSED] * 5, False),
    ],
)
def test_what_may_be_tried_again(
    kind_of_route: object, failures: list[FailureKind], expected: bool
) -> None:
    tries = Tries(failures=tuple(failures))
    found = may_try_again(kind_of_route, tries, affordable=True)  # type: ignore[arg-type]
    assert found is expected
    assert not may_try_again(kind_of_route, tries, affordable=False)  # type: ignore[arg-type]


def test_dropped_answer_counts_as_a_run() -> None:
    tries = Tries().replace_answer()
    assert tries.execution is Execution.RAN
    assert tries.runs == 1


def test_wait_grows_with_what_answers_take_at_the_time() -> None:
    """Too few upstreams: repeats of slow answers only add to the load."""
    calm = answer_timeout_ms(
        _RESUMABLE, Tries(), 5_000, usual_ms=20.0, affordable=True
    )
    crowded = answer_timeout_ms(
        _RESUMABLE, Tries(), 5_000, usual_ms=400.0, affordable=True
    )
    assert (calm, crowded) == (120.0, 1_600.0)


def test_last_run_gets_all_the_time_that_is_left() -> None:
    last = Tries(failures=(FailureKind.RESPONSE_TIMEOUT,) * 2)
    timeout_ms = answer_timeout_ms(
        _RESUMABLE, last, 900, usual_ms=1.0, affordable=True
    )
    assert timeout_ms == 900
    once = answer_timeout_ms(_ONCE, Tries(), 900, 1.0, affordable=True)
    assert once == 900


_COSTS = (0.017, 0.13, 0.26)


@pytest.mark.parametrize(
    ("confidence", "prompt", "output", "expected"),
    [
        (100, 800, 300, None),
        (20, 800, 300, 2),
        # A second answer that costs a fifth of the worth asks for more doubt.
        (70, 800, 300, 2),
        (70, 12_000, 300, None),
        (20, 12_000, 300, 2),
        (None, 800, 300, None),
    ],
)
def test_largest_model_is_asked_where_it_pays(
    confidence: int | None, prompt: int, output: int, expected: int | None
) -> None:
    answer = BegunAnswer(tier=0, confidence=confidence, time_left=True)
    size = AnswerSize(prompt_tokens=prompt, output_tokens=output)
    assert ModelChoice().next_tier(answer, size, _COSTS) == expected


def test_largest_model_is_asked_less_when_late_or_crowded() -> None:
    size = AnswerSize(prompt_tokens=2_400, output_tokens=20)
    calm = BegunAnswer(tier=0, confidence=50, time_left=True)
    late = BegunAnswer(tier=0, confidence=50, time_left=False)
    crowded = BegunAnswer(tier=0, confidence=50, time_left=True, pressure=8.0)
    found = [
        ModelChoice().next_tier(answer, size, _COSTS)
        for answer in (calm, late, crowded)
    ]
    assert found == [2, None, None]


def test_what_the_largest_model_adds_is_learnt() -> None:
    choice = ModelChoice()
    answer = BegunAnswer(tier=0, confidence=50, time_left=True)
    size = AnswerSize(prompt_tokens=800, output_tokens=300)
    assert choice.next_tier(answer, size, _COSTS) == 2
    for _ in range(300):
        choice.record_largest(50, 40)
    assert choice.next_tier(answer, size, _COSTS) is None
    # Other confidences of the first answer are learnt apart.
    other = BegunAnswer(tier=0, confidence=10, time_left=True)
    assert choice.next_tier(other, size, _COSTS) == 2


def _rollout(fleet: _Fleet, duration_ms: int = 10_000) -> int:
    order = RolloutOrder(service="s", target="v2", duration_ms=duration_ms)
    return fleet.put("order", order)


def _record(
    fleet: _Fleet, order: int, phase: RolloutPhase, percent: int = 0
) -> None:
    record = RolloutRecord(
        service="s",
        target="v2",
        order_revision=order,
        phase=phase,
        percent=percent,
    )
    fleet.put("record", record)


def _versions(fleet: _Fleet) -> Counter[str | None]:
    counts: Counter[str | None] = Counter()
    for number in range(1_000):
        found = fleet.choose(_request(f"id-{number}"))
        counts[None if isinstance(found, NoUpstream) else found.version] += 1
    return counts


def test_phases_of_a_rollout_decide_the_versions() -> None:
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    order = _rollout(fleet)
    assert set(_versions(fleet)) == {"v1"}
    _record(fleet, order, RolloutPhase.CANARY)
    canary = _versions(fleet)["v2"]
    assert 0.6 * CANARY_PERCENT < canary / 10 < 1.4 * CANARY_PERCENT
    _record(fleet, order, RolloutPhase.SHIFT, 50)
    assert 400 < _versions(fleet)["v2"] < 600
    _record(fleet, order, RolloutPhase.COMPLETED, 100)
    assert set(_versions(fleet)) == {"v2"}


def test_rolled_back_version_gets_nothing_even_without_the_order() -> None:
    fleet = _Fleet()
    fleet.put("new", upstream("new", version="v2"))
    order = _rollout(fleet)
    _record(fleet, order, RolloutPhase.ROLLED_BACK)
    assert set(_versions(fleet)) == {None}
    fleet.view.rollouts.clear()
    assert set(_versions(fleet)) == {None}


def test_new_order_for_a_version_that_was_rolled_back_starts_anew() -> None:
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    order = _rollout(fleet)
    _record(fleet, order, RolloutPhase.ROLLED_BACK)
    again = _rollout(fleet)
    _record(fleet, again, RolloutPhase.SHIFT, 100)
    assert set(_versions(fleet)) == {"v2"}


def test_own_evidence_stops_a_bad_version_before_the_fleet_agrees() -> None:
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    _record(fleet, _rollout(fleet), RolloutPhase.SHIFT, 100)
    for _ in range(4):
        entry = upstream("new", version="v2")
        fleet.dispatchers[0].record_evidence(entry, bad=True)
    assert set(_versions(fleet)) == {"v1"}


def test_evidence_of_an_earlier_order_does_not_count() -> None:
    """The same version is brought in again after it was mended."""
    fleet = _Fleet()
    fleet.put("old", upstream("old", version="v1"))
    fleet.put("new", upstream("new", version="v2"))
    _record(fleet, _rollout(fleet), RolloutPhase.SHIFT, 100)
    for _ in range(4):
        entry = upstream("new", version="v2")
        fleet.dispatchers[0].record_evidence(entry, bad=True)
    assert fleet.dispatchers[0].own_evidence("s")["v2"].bad == 4
    _record(fleet, _rollout(fleet), RolloutPhase.SHIFT, 100)
    assert fleet.dispatchers[0].own_evidence("s") == {}
    assert set(_versions(fleet)) == {"v2"}


def test_completed_version_is_kept_whatever_it_answers() -> None:
    """The old upstreams are gone: there is nothing to go back to."""
    fleet = _Fleet()
    fleet.put("new", upstream("new", version="v2"))
    _record(fleet, _rollout(fleet), RolloutPhase.COMPLETED, 100)
    for _ in range(20):
        entry = upstream("new", version="v2")
        fleet.dispatchers[0].record_evidence(entry, bad=True)
    assert set(_versions(fleet)) == {"v2"}


@pytest.mark.parametrize(
    ("target", "others", "expected"),
    [
        (VersionEvidence(good=3, bad=3), VersionEvidence(good=90), False),
        (VersionEvidence(good=10, bad=4), VersionEvidence(good=90), True),
        (VersionEvidence(good=60, bad=4), VersionEvidence(good=90), False),
        (
            VersionEvidence(good=80, bad=20),
            VersionEvidence(good=80, bad=20),
            False,
        ),
    ],
)
def test_evidence_is_compared_with_the_other_versions(
    target: VersionEvidence, others: VersionEvidence, expected: bool
) -> None:
    assert is_bad(target, others) is expected


def test_sessions_stay_in_the_first_half_and_never_go_back() -> None:
    sessions = [f"session-{number}" for number in range(300)]
    canary = [
        runs_on_target(RolloutPhase.CANARY, 0, session, "id")
        for session in sessions
    ]
    assert not any(canary)
    moved: set[str] = set()
    for percent in (20, 50, 100):
        on_target = {
            session
            for session in sessions
            if runs_on_target(RolloutPhase.SHIFT, percent, session, "id")
        }
        assert moved <= on_target
        moved = on_target
    assert moved == set(sessions)


def test_steps_of_a_good_rollout_keep_to_its_time() -> None:
    fleet = _Fleet()
    order = _rollout(fleet, duration_ms=10_000)
    start_ms = fleet.clock.now_ms()
    evidence = {
        "v1": VersionEvidence(good=100),
        "v2": VersionEvidence(good=30),
    }
    seen: list[tuple[int, RolloutPhase, int]] = []
    for _ in range(110):
        step = next_step(
            fleet.view.rollouts["s"],
            fleet.view.records.get("s"),
            evidence,
            old_in_flight=1,
            now_ms=fleet.clock.now_ms(),
        )
        if step is not None:
            at = fleet.clock.now_ms() - start_ms
            seen.append((at, step.phase, step.percent))
            _record(fleet, order, step.phase, step.percent)
        fleet.clock.advance(100)
    phases = [(phase, percent) for _, phase, percent in seen]
    assert phases == [
        (RolloutPhase.CANARY, 0),
        (RolloutPhase.SHIFT, 20),
        (RolloutPhase.SHIFT, 50),
        (RolloutPhase.SHIFT, 100),
        (RolloutPhase.COMPLETED, 100),
    ]
    times = [at for at, _, _ in seen]
    assert times[1] > 5_000
    assert times[-1] < 10_000


def test_idle_old_version_completes_sooner() -> None:
    fleet = _Fleet()
    order = _rollout(fleet, duration_ms=10_000)
    _record(fleet, order, RolloutPhase.SHIFT, 100)
    rollout = fleet.view.rollouts["s"]
    known = fleet.view.records["s"]
    at_ms = rollout.seen_ms + 7_300
    busy = next_step(rollout, known, {}, 1, at_ms)
    idle = next_step(rollout, known, {}, 0, at_ms)
    assert busy is None
    assert idle is not None
    assert idle.phase is RolloutPhase.COMPLETED


def test_bad_version_is_rolled_back_in_any_phase() -> None:
    fleet = _Fleet()
    order = _rollout(fleet)
    evidence = {
        "v1": VersionEvidence(good=100),
        "v2": VersionEvidence(good=4, bad=4),
    }
    for phase in (RolloutPhase.CANARY, RolloutPhase.SHIFT):
        _record(fleet, order, phase)
        step = next_step(
            fleet.view.rollouts["s"],
            fleet.view.records["s"],
            evidence,
            0,
            fleet.clock.now_ms(),
        )
        assert step is not None
        assert step.phase is RolloutPhase.ROLLED_BACK


@pytest.mark.parametrize(
    ("remaining_ms", "store_away", "expected"),
    [
        (15_000, False, RETRY_SOON_MS),
        (0, True, RETRY_SOON_MS),
        (1_500, True, 450),
        (5_000, True, 1_500),
        (60_000, True, 5_000),
    ],
)
def test_outage_of_the_store_sends_callers_away_for_a_share_of_their_time(
    remaining_ms: int, store_away: bool, expected: int
) -> None:
    assert retry_after_ms(remaining_ms, store_away=store_away) == expected
