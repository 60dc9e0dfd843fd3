from __future__ import annotations

import signal
import time

from tests.endtoend.fleet import Fleet
from tests.endtoend.requests import PendingRequest
from tools.processes import wait_until

# Longer than any lease, proof of freshness or credit is valid.
_PAUSE_S = 11.0
_PENDING = 8


def test_paused_daemon_starts_nothing_under_an_old_revision(
    fleet: Fleet,
) -> None:
    started = fleet.change("a", kind="rollout-start", version="large@2")
    assert started.status == 200, started.body
    fleet.wait_for_revision(started.json()["revision"])
    first = fleet.chat("c", "tape 1")
    assert first.headers["Model-Version"] == "large@2"
    session = first.headers["Session"]

    fleet.processes.signal("entry-c", signal.SIGSTOP)
    resume_at = time.monotonic() + _PAUSE_S
    # The kernel takes these connections while the daemon is paused; it reads
    # them first of all when it goes on.
    pending = [
        PendingRequest(fleet.caller("c"), f"tape {number}", session)
        for number in range(_PENDING)
    ]
    withdrawn = fleet.change("a", kind="withdraw", version="large@2")
    assert withdrawn.json()["is_confirmed"]
    out = fleet.change(
        "b", kind="failure-domain", name="domain-a", in_service=False
    )
    # Of the two failure domains left in service, one does not answer.
    assert not out.json()["is_confirmed"]
    fleet.wait_for_revision(out.json()["revision"], ("a", "b"))
    fleet.wait_until_idle(("a", "b"))
    before = {run["request_id"] for run in fleet.runs()}
    wait_until(lambda: time.monotonic() >= resume_at, "the end of the pause")
    fleet.processes.signal("entry-c", signal.SIGCONT)

    for request in pending:
        reply = request.receive()
        assert reply.status in (409, 503), reply.body
        assert reply.json()["outcome"] == "not_run"
    fleet.wait_for_revision(out.json()["revision"], ("c",))
    wait_until(
        lambda: fleet.chat("c", "tape 2").status == 200,
        "new work at the daemon that was paused",
    )
    begun = [run for run in fleet.runs() if run["request_id"] not in before]
    assert begun
    assert {run["version"] for run in begun} == {"large@1"}
    at_a = {run["request_id"] for run in fleet.runs(("a",))}
    assert at_a <= before
