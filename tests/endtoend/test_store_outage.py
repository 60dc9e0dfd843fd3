from __future__ import annotations

import time

from tests.endtoend.fleet import DOMAINS, Fleet
from tools.processes import wait_until

_RESTART_PATIENCE_S = 60.0
# A daemon may keep bills to itself for so long.
_COPY_PATIENCE_S = 2.0


def _serve(fleet: Fleet, letters: tuple[str, ...] = DOMAINS) -> set[str]:
    """Serves requests of each kind through daemons; returns their ids."""
    replies = []
    for letter in letters:
        key = f"{fleet.key_prefix(letter)}outage"
        replies += [
            fleet.chat(letter, "tape 21"),
            fleet.look_up(letter),
            fleet.lend(letter, key),
        ]
    assert [reply.status for reply in replies] == [200] * len(replies)
    return {reply.headers["Request-Id"] for reply in replies}


def test_fleet_serves_through_an_outage_of_the_store(own_fleet: Fleet) -> None:
    fleet = own_fleet
    fleet.set_store(down=True)
    for letter in DOMAINS:
        wait_until(
            lambda letter=letter: (
                fleet.dump(letter)["configuration"]["standing"] == "store_lost"
            ),
            f"entry-{letter} without its store",
        )
    revision = fleet.revision("a")
    requests = _serve(fleet, ("a", "b"))

    refused = fleet.change(
        "a", kind="failure-domain", name="domain-a", in_service=False
    )
    assert refused.status == 503
    assert refused.json()["code"] == "not-current"
    assert refused.json()["retry_after_ms"] > 0
    loans = fleet.loans()
    unregistered = fleet.lend("a", "a-key-of-the-callers-own")
    assert unregistered.status == 503
    assert unregistered.json()["code"] == "store-unavailable"
    assert fleet.loans() == loans

    fleet.processes.kill("entry-c")
    fleet.start_daemon("c")
    wait_until(
        lambda: fleet.chat("c", "tape 22").status == 200,
        "an answer through a daemon that began in the outage",
        _RESTART_PATIENCE_S,
    )
    assert fleet.revision("c") == revision
    after = _serve(fleet)

    fleet.set_store(down=False)
    fleet.wait_for_bills(after)
    accepted = wait_until(
        lambda: _change_if_accepted(fleet), "a change that is accepted"
    )
    fleet.wait_for_revision(accepted)
    fleet.wait_for_bills(requests)


def _change_if_accepted(fleet: Fleet) -> int | None:
    reply = fleet.change(
        "b", kind="failure-domain", name="domain-a", in_service=False
    )
    return reply.json()["revision"] if reply.status == 200 else None


def test_bills_of_a_daemon_killed_in_an_outage_are_not_lost(
    own_fleet: Fleet,
) -> None:
    fleet = own_fleet
    fleet.set_store(down=True)
    requests = _serve(fleet, ("c",))
    kill_at = time.monotonic() + _COPY_PATIENCE_S
    wait_until(lambda: time.monotonic() >= kill_at, "time to copy the bills")
    fleet.processes.kill("entry-c")
    fleet.set_store(down=False)
    fleet.wait_for_bills(requests)


def test_graceful_shutdown_in_an_outage_leaves_the_bills_with_a_peer(
    own_fleet: Fleet,
) -> None:
    fleet = own_fleet
    fleet.set_store(down=True)
    requests = _serve(fleet, ("c",))
    fleet.processes.signal("entry-c")
    assert fleet.processes.wait("entry-c") == 0
    fleet.set_store(down=False)
    fleet.wait_for_bills(requests)


def test_graceful_shutdown_of_the_last_daemon_waits_for_the_store(
    own_fleet: Fleet,
) -> None:
    fleet = own_fleet
    fleet.set_store(down=True)
    requests = _serve(fleet, ("c",))
    fleet.processes.kill("entry-a")
    fleet.processes.kill("entry-b")
    wait_until(
        lambda: fleet.live_nodes("c") == {"entry-c"}, "the last of all daemons"
    )
    fleet.processes.signal("entry-c")
    wait_until(
        lambda: fleet.dump("c")["phase"] == "finishing", "nothing left to serve"
    )
    fleet.set_store(down=False)
    assert fleet.processes.wait("entry-c") == 0
    fleet.start_daemon("a")
    fleet.wait_for_bills(requests)
