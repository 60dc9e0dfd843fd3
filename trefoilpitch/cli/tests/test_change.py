import pathlib
from collections.abc import Callable

import pytest
from returns.result import Failure

from trefoilpitch.cli import ExitStatus
from trefoilpitch.cli.tests.operator import ARCHIVE, Operator, signed_off
from trefoilpitch.membership import MemberState
from trefoilpitch.store import OutcomeUnknownError

OUT = ("domain", "out", "suva", "--change_id=c-1")


def test_a_change_id_is_applied_once() -> None:
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


def test_a_generated_change_id_is_printed_before_the_outcome() -> None:
    operator = signed_off()
    operator.fleet.store.set_down(True)
    completed = operator.run("vm", "out", "entry-1", "--format=json")
    assert completed.status is ExitStatus.UNREACHABLE
    assert f"change id {completed.json()['change_id']}" in completed.err
    assert completed.json()["error"]["kind"] == "unreachable"


def test_an_unknown_outcome_is_resolved_by_repeating_the_command(
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
    completed = operator.run(*OUT)
    assert completed.status is ExitStatus.OUTCOME_UNKNOWN
    assert "same --change_id" in completed.err
    monkeypatch.undo()
    store.set_down(False)
    again = operator.run(*OUT, "--format=json")
    assert again.json()["is_repeated"] is True
    assert operator.fleet.configuration.revision == 2


def test_a_retry_that_fails_leaves_the_first_outcome_open() -> None:
    operator = signed_off()
    operator.fleet.accepts_changes = False
    completed = operator.run(*OUT)
    assert completed.status is ExitStatus.UNREACHABLE
    assert "is still unknown" in completed.err
    first = operator.run("domain", "out", "suva")
    assert first.status is ExitStatus.UNREACHABLE
    assert "is still unknown" not in first.err


def test_an_unconfirmed_change_has_an_unknown_outcome() -> None:
    operator = signed_off()
    operator.fleet.confirms_commits = False
    completed = operator.run(*OUT, "--format=json")
    assert completed.status is ExitStatus.OUTCOME_UNKNOWN
    assert completed.json()["is_confirmed"] is False
    operator.fleet.confirms_commits = True
    assert operator.run(*OUT).status is ExitStatus.DONE


def test_a_conflict_names_the_author_of_the_other_change() -> None:
    operator = signed_off()
    operator.run("vm", "out", "entry-1", "--author=josefa")
    completed = operator.run(*OUT, "--expected_revision=1")
    assert completed.status is ExitStatus.CONFLICT
    assert "josefa took out VM entry-1" in completed.err


def test_a_sign_off_is_based_on_the_revision_whose_diff_was_shown(
    tmp_path: pathlib.Path,
) -> None:
    operator = signed_off()
    path = tmp_path / "bundle.toml"
    text = pathlib.Path(ARCHIVE).read_text()
    path.write_text(text.replace("version = 1\n", "version = 2\n", 1))
    # The node has not applied the other operator's change yet.
    operator.fleet.confirms_commits = False
    operator.run("vm", "out", "entry-1", "--author=josefa")
    completed = operator.run("bundle", "sign-off", str(path))
    assert completed.status is ExitStatus.CONFLICT
    operator.fleet.catch_up()
    operator.fleet.confirms_commits = True
    completed = operator.run("bundle", "sign-off", str(path))
    assert completed.status is ExitStatus.DONE
    assert "~ version: 1 -> 2" in completed.out


def test_a_dry_run_changes_nothing_while_the_store_is_down() -> None:
    operator = signed_off()
    operator.fleet.store.set_down(True)
    completed = operator.run(*OUT, "--dry-run")
    assert completed.status is ExitStatus.DONE
    assert "nothing was changed" in completed.out
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
    completed = operator.run(*OUT, "--wait", "--format=json")
    assert completed.status is ExitStatus.DONE
    assert completed.json()["in_force"] is True
    assert sleeps == 3


def _report_old_revision(operator: Operator) -> None:
    operator.fleet.reported["entry-2"] = 1


def _suspect_with_old_revision(operator: Operator) -> None:
    operator.fleet.reported["entry-2"] = 1
    operator.fleet.states["entry-2"] = MemberState.SUSPECT


def _interrupt_status_request(operator: Operator) -> None:
    operator.fleet.send = lambda *words, **more: _raise_interrupt()  # type: ignore


def _raise_interrupt() -> None:
    raise KeyboardInterrupt


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (_report_old_revision, "entry-2"),
        (_suspect_with_old_revision, "entry-2"),
        (_interrupt_status_request, "entry-1, entry-2"),
    ],
)
def test_a_wait_that_times_out_lists_the_outdated_vms(
    fault: Callable[[Operator], None], expected: str
) -> None:
    operator = signed_off()
    operator.fleet.confirms_commits = False

    def on_sleep() -> None:
        operator.fleet.catch_up()
        fault(operator)

    operator.on_sleep = on_sleep
    completed = operator.run(*OUT, "--wait", "--wait_ms=1000", "--format=json")
    assert completed.status is ExitStatus.NOT_IN_FORCE
    assert f"lacking: {expected}" in completed.err
    assert completed.json()["revision"] == 2
    assert completed.json()["in_force"] is False


def test_an_interrupted_change_has_an_unknown_outcome() -> None:
    operator = signed_off()
    operator.fleet.send = lambda *words, **more: _raise_interrupt()  # type: ignore
    completed = operator.run(*OUT)
    assert completed.status is ExitStatus.OUTCOME_UNKNOWN
