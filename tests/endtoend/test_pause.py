from __future__ import annotations

import signal
import time

from tests.endtoend.client import PendingRequest
from tests.endtoend.fleet import Fleet
from tools.processes import wait_until

# Longer than the validity of any lease, proof of freshness or credit.
_PAUSE_S = 11.0
_PENDING = 8


def test_paused_daemon_starts_no_work_under_old_revision(
    fleet: Fleet,
) -> None:
    started = fleet.change("a", kind="rollout-start", version="large@2")
    assert started.status == 200, started.body
    fleet.wait_for_revision(started.json()["revision"])
    first = fleet.chat("c", "tape 1")
    assert first.headers["Model-Version"] == "large@2"
    session = first.headers["Session"]

    fleet.processes.pause("entry-c")
    resume_at = time.monotonic() + _PAUSE_S
    # The kernel accepts these connections while the daemon is paused, so the
    # daemon reads these requests first when it resumes.
    pending = [
        PendingRequest(fleet.caller_address("c"), f"tape {number}", session)
        for number in range(_PENDING)
    ]
    withdrawn = fleet.change("a", kind="withdraw", version="large@2")
    assert withdrawn.json()["is_confirmed"]
    out = fleet.change(
        "b", kind="failure-domain", name="domain-a", in_service=False
    )
    # One of the two failure domains left in service does not respond.
    assert not out.json()["is_confirmed"]
    fleet.wait_for_revision(out.json()["revision"], ("a", "b"))
    fleet.wait_until_idle(("a", "b"))
    before = {run["request_id"] for run in fleet.runs()}
    wait_until(lambda: time.monotonic() >= resume_at, "the end of the pause")
    fleet.processes.signal("entry-c", signal.SIGCONT)

    for request in pending:
        response = request.receive()
        assert response.status in (409, 503), response.body
        assert response.json()["outcome"] == "not_run"
    fleet.wait_for_revision(out.json()["revision"], ("c",))
    wait_until(
        lambda: fleet.chat("c", "tape 2").status == 200,
        "a successful request at the resumed daemon",
    )
    begun = [run for run in fleet.runs() if run["request_id"] not in before]
    assert begun
    assert {run["version"] for run in begun} == {"large@1"}
    at_a = {run["request_id"] for run in fleet.runs(("a",))}
    assert at_a <= before
