import pytest

from trefoilpitch.administration.tests.fleet import Fleet, change, decode
from trefoilpitch.administration.tests.test_api import ARCHIVE
from trefoilpitch.membership import MemberState


@pytest.mark.parametrize(
    ("state", "is_missing"),
    [
        (MemberState.ALIVE, True),
        (MemberState.SUSPECT, True),
        (MemberState.LEAVING, True),
        (MemberState.GONE, False),
    ],
)
def test_an_outdated_node_that_may_be_serving_is_listed_as_missing(
    state: MemberState, is_missing: bool
) -> None:
    fleet = Fleet()
    fleet.send("POST", "/v1/changes", change("sign-off", bundle=ARCHIVE))
    fleet.reported["entry-2"] = 0
    fleet.states["entry-2"] = state
    status = decode(fleet.send("GET", "/v1/status"))
    assert status["missing"] == (["entry-2"] if is_missing else [])
    assert status["in_force"] is not is_missing


def test_the_status_shows_the_share_of_new_sessions_of_a_rollout() -> None:
    fleet = Fleet()
    steps = (
        (change("sign-off", bundle=ARCHIVE), None),
        (change("rollout-start", version="sermon-small@2026.11"), 0.01),
        (change("rollout-advance", model="sermon-small", from_step=0), 0.05),
        (change("rollout-pause", model="sermon-small"), 0.05),
        (change("rollout-back", model="sermon-small"), 0.0),
    )
    for number, (body, share) in enumerate(steps):
        body["change_id"] = f"c-{number}"
        assert fleet.send("POST", "/v1/changes", body).status == 200
        rollouts = decode(fleet.send("GET", "/v1/status"))["rollouts"]
        assert [line["share"] for line in rollouts] == (
            [] if share is None else [share]
        )


def test_an_outdated_node_does_not_report_its_revision_as_in_force() -> None:
    fleet = Fleet()
    fleet.send("POST", "/v1/changes", change("sign-off", bundle=ARCHIVE))
    fleet.reported["entry-2"] = 5
    status = decode(fleet.send("GET", "/v1/status"))
    assert status["in_force"] is False
    assert "entry-1" in status["missing"]
