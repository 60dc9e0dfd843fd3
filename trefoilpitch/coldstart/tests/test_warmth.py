import pytest

from trefoilpitch.coldstart import (
    Admission,
    AdmissionKind,
    ColdSign,
    ColdStartSettings,
    CreditRequest,
    DemandChanged,
    FleetObserved,
    GatekeeperMessageReceived,
    HolderState,
    SendToGatekeeper,
    UpstreamReported,
    UpstreamsChanged,
    WarmNotice,
    WorkEnded,
    WorkOutcome,
    create_holder,
    is_cold,
    step_holder,
)
from trefoilpitch.coldstart.tests.simulation import UPSTREAM, create_member
from trefoilpitch.membership import MembershipView, MemberState

SETTINGS = ColdStartSettings()
NOW_MS = 10_000
WARM_WORK = Admission(upstream="u", kind=AdmissionKind.WARM)


def report(as_of_ms: int, incarnation: str = "e1") -> UpstreamReported:
    return UpstreamReported(
        upstream="u", incarnation=incarnation, running=0, as_of_ms=as_of_ms
    )


def end(outcome: WorkOutcome, latency_ms: int | None = None) -> WorkEnded:
    return WorkEnded(
        admission=WARM_WORK, outcome=outcome, latency_ms=latency_ms
    )


def request_and_receive_warm_notice(
    state: HolderState, now_ms: int
) -> HolderState:
    state, actions = step_holder(state, DemandChanged("u", 1), now_ms)
    (request,) = (a for a in actions if isinstance(a, SendToGatekeeper))
    assert isinstance(request.message, CreditRequest)
    notice = WarmNotice("u", request.message.sequence, "e1")
    event = GatekeeperMessageReceived(gatekeeper="g", message=notice)
    return step_holder(state, event, now_ms + 10)[0]


@pytest.fixture
def warm() -> HolderState:
    state = create_holder(SETTINGS)
    view = MembershipView(
        own_name="vm0",
        members=(create_member("vm0", "1", MemberState.ALIVE),),
        as_of_ms=NOW_MS,
        last_contact_ms=None,
        is_settled=True,
    )
    state, _ = step_holder(state, UpstreamsChanged((UPSTREAM,)), NOW_MS)
    state, _ = step_holder(state, FleetObserved(view), NOW_MS)
    state, _ = step_holder(state, report(NOW_MS), NOW_MS)
    state = request_and_receive_warm_notice(state, NOW_MS + 10)
    assert not is_cold(state, "u", NOW_MS + 100)
    return state


@pytest.mark.parametrize(
    "outcome", [WorkOutcome.REFUSED, WorkOutcome.UNREACHABLE]
)
def test_refusal_is_a_cold_sign(
    warm: HolderState, outcome: WorkOutcome
) -> None:
    state, actions = step_holder(warm, end(outcome), NOW_MS + 100)
    assert is_cold(state, "u", NOW_MS + 100)
    assert [a.message for a in actions if isinstance(a, SendToGatekeeper)] == [
        ColdSign("u", "e1")
    ]


def test_consecutive_slow_responses_are_a_cold_sign(warm: HolderState) -> None:
    state = warm
    for latency_ms in (100, 110, 900, 90, 900, 900):
        event = end(WorkOutcome.SUCCEEDED, latency_ms)
        state, _ = step_holder(state, event, NOW_MS + 100)
        assert not is_cold(state, "u", NOW_MS + 100)
    event = end(WorkOutcome.SUCCEEDED, 900)
    state, _ = step_holder(state, event, NOW_MS + 100)
    assert is_cold(state, "u", NOW_MS + 100)


def test_warmth_lasts_as_long_as_reports_of_the_incarnation(
    warm: HolderState,
) -> None:
    age_ms = SETTINGS.report_age_limit_ms
    assert not is_cold(warm, "u", NOW_MS + age_ms)
    assert is_cold(warm, "u", NOW_MS + age_ms + 1)
    late, _ = step_holder(
        warm, report(NOW_MS + age_ms + 1), NOW_MS + age_ms + 1
    )
    assert is_cold(late, "u", NOW_MS + age_ms + 1)
    other, _ = step_holder(warm, report(NOW_MS + 500, "e2"), NOW_MS + 500)
    assert is_cold(other, "u", NOW_MS + 500)


def test_old_report_that_arrives_late_does_not_renew_warmth(
    warm: HolderState,
) -> None:
    age_ms = SETTINGS.report_age_limit_ms
    state, _ = step_holder(warm, report(NOW_MS + 10), NOW_MS + age_ms + 500)
    assert is_cold(state, "u", NOW_MS + age_ms + 500)


def test_idle_upstream_is_cold(warm: HolderState) -> None:
    state = warm
    now_ms = NOW_MS
    while now_ms <= NOW_MS + SETTINGS.idle_limit_ms:
        assert not is_cold(state, "u", now_ms)
        now_ms += 1_000
        state, _ = step_holder(state, report(now_ms), now_ms)
    now_ms += 1_000
    state, _ = step_holder(state, report(now_ms), now_ms)
    assert is_cold(state, "u", now_ms)


def test_notice_requested_before_a_cold_sign_is_ignored(
    warm: HolderState,
) -> None:
    refused = end(WorkOutcome.REFUSED)
    state, _ = step_holder(warm, refused, NOW_MS + 600)
    state, actions = step_holder(state, DemandChanged("u", 1), NOW_MS + 700)
    (request,) = (a for a in actions if isinstance(a, SendToGatekeeper))
    assert isinstance(request.message, CreditRequest)
    state, _ = step_holder(state, refused, NOW_MS + 800)
    notice = WarmNotice("u", request.message.sequence, "e1")
    event = GatekeeperMessageReceived(gatekeeper="g", message=notice)
    state, _ = step_holder(state, event, NOW_MS + 900)
    assert is_cold(state, "u", NOW_MS + 900)
