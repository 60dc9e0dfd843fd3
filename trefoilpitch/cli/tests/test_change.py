import pathlib
from collections.abc import Callable

import pytest
from returns.result import Failure

from trefoilpitch.cli import ExitStatus
from trefoilpitch.cli.tests.operator import ARCHIVE, Operator, signed_off
from trefoilpitch.membership import MemberState
from trefoilpitch.store import OutcomeUnknownError

OUT = ("domain", "out", "suva", "--change_id=c-1")


def test_the_same_change_id_is_one_change() -> None:
    operator = signed_off()
    assert operator.run(*OUT).status is ExitStatus.DONE
    again = operator.run(*OUT, "--format=json")
    assert again.status is ExitStatus.DONE
    assert again.json() == {
        "change_id": "c-1",
        "revision": 2,
        "is_repeated": True,
        "is_confirmed": True,
    }
    other = operator.run("vm", "out", "entry-1", "--change_id=c-1")
    assert other.status is ExitStatus.REFUSED
    assert "Leave --change_id out" in other.err


def test_a_fresh_change_id_is_printed_before_the_outcome() -> None:
    operator = signed_off()
    operator.fleet.store.set_down(True)
    ended = operator.run("vm", "out", "entry-1", "--format=json")
    assert ended.status is ExitStatus.UNREACHABLE
    assert f"change id {ended.json()['change_id']}" in ended.err
    assert ended.json()["error"]["kind"] == "unreachable"


def test_an_unknown_outcome_is_settled_by_repeating_the_command(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    operator = signed_off()
    store = operator.fleet.store
    put_if = store.put_if

    def put_and_go_down(key: str, value: bytes, revision: int) -> object:
        put_if(key, value, revision)
        store.set_down(True)
        return Failure(OutcomeUnknownError(detail="lost"))

    monkeypatch.setattr(store, "put_if", put_and_go_down)
    ended = operator.run(*OUT)
    assert ended.status is ExitStatus.OUTCOME_UNKNOWN
    assert "same --change_id" in ended.err
    monkeypatch.undo()
    store.set_down(False)
    again = operator.run(*OUT, "--format=json")
    assert again.json()["is_repeated"] is True
    assert operator.fleet.configuration.revision == 2


def test_a_repeat_that_reaches_nobody_claims_nothing_about_the_first() -> None:
    operator = signed_off()
    operator.fleet.accepts_changes = False
    ended = operator.run(*OUT)
    assert ended.status is ExitStatus.UNREACHABLE
    assert "is still open" in ended.err
    first = operator.run("domain", "out", "suva")
    assert first.status is ExitStatus.UNREACHABLE
    assert "is still open" not in first.err


def test_a_change_that_few_have_heard_of_is_not_done() -> None:
    operator = signed_off()
    operator.fleet.confirms_commits = False
    ended = operator.run(*OUT, "--format=json")
    assert ended.status is ExitStatus.OUTCOME_UNKNOWN
    assert ended.json()["is_confirmed"] is False
    operator.fleet.confirms_commits = True
    assert operator.run(*OUT).status is ExitStatus.DONE


def test_racing_operators_get_a_conflict_that_names_the_other() -> None:
    operator = signed_off()
    operator.run("vm", "out", "entry-1", "--author=josefa")
    ended = operator.run(*OUT, "--expected_revision=1")
    assert ended.status is ExitStatus.CONFLICT
    assert "josefa took out VM entry-1" in ended.err


def test_a_sign_off_is_based_on_the_revision_whose_diff_was_shown(
    tmp_path: pathlib.Path,
) -> None:
    operator = signed_off()
    path = tmp_path / "bundle.toml"
    text = pathlib.Path(ARCHIVE).read_text()
    path.write_text(text.replace("version = 1\n", "version = 2\n", 1))
    # This node has not yet seen what another operator did.
    operator.fleet.confirms_commits = False
    operator.run("vm", "out", "entry-1", "--author=josefa")
    ended = operator.run("bundle", "sign-off", str(path))
    assert ended.status is ExitStatus.CONFLICT
    operator.fleet.catch_up()
    operator.fleet.confirms_commits = True
    ended = operator.run("bundle", "sign-off", str(path))
    assert ended.status is ExitStatus.DONE
    assert "~ version: 1 -> 2" in ended.out


def test_a_dry_run_changes_nothing_while_the_store_is_down() -> None:
    operator = signed_off()
    operator.fleet.store.set_down(True)
    ended = operator.run(*OUT, "--dry-run")
    assert ended.status is ExitStatus.DONE
    assert "nothing was changed" in ended.out
    assert operator.fleet.configuration.revision == 1


def test_waiting_ends_when_the_last_vm_has_the_revision() -> None:
    operator = signed_off()
    operator.fleet.confirms_commits = False
    sleeps = 0

    def on_sleep() -> None:
        nonlocal sleeps
        sleeps += 1
        if sleeps == 3:
            operator.fleet.catch_up()

    operator.on_sleep = on_sleep
    ended = operator.run(*OUT, "--wait", "--format=json")
    assert ended.status is ExitStatus.DONE
    assert ended.json()["in_force"] is True
    assert sleeps == 3


def _lags(operator: Operator) -> None:
    operator.fleet.reported["entry-2"] = 1


def _is_suspect(operator: Operator) -> None:
    operator.fleet.reported["entry-2"] = 1
    operator.fleet.states["entry-2"] = MemberState.SUSPECT


def _cannot_be_asked(operator: Operator) -> None:
    operator.fleet.send = lambda *words, **more: _raise()  # type: ignore


def _raise() -> None:
    raise KeyboardInterrupt


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (_lags, "entry-2"),
        (_is_suspect, "entry-2"),
        (_cannot_be_asked, "entry-1, entry-2"),
    ],
)
def test_waiting_in_vain_says_who_lacks_the_accepted_revision(
    fault: Callable[[Operator], None], expected: str
) -> None:
    operator = signed_off()
    operator.fleet.confirms_commits = False

    def on_sleep() -> None:
        operator.fleet.catch_up()
        fault(operator)

    operator.on_sleep = on_sleep
    ended = operator.run(*OUT, "--wait", "--wait_ms=1000", "--format=json")
    assert ended.status is ExitStatus.NOT_IN_FORCE
    assert f"lacking: {expected}" in ended.err
    assert ended.json()["revision"] == 2
    assert ended.json()["in_force"] is False


def test_an_interrupted_change_has_an_unknown_outcome() -> None:
    operator = signed_off()
    operator.fleet.send = lambda *words, **more: _raise()  # type: ignore
    ended = operator.run(*OUT)
    assert ended.status is ExitStatus.OUTCOME_UNKNOWN
