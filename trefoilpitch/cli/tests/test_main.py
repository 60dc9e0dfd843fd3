import pathlib

import pytest

from trefoilpitch.cli import ExitStatus
from trefoilpitch.cli._commands import COMMANDS, Command
from trefoilpitch.cli.tests.operator import (
    ARCHIVE,
    ENVIRONMENT,
    Operator,
    signed_off,
)


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        ("", "no command was given"),
        ("stauts", "did you mean status?"),
        ("bundle", "bundle needs one of: check, diff, sign-off"),
        ("bundle chekc", "bundle has no 'chekc'"),
        ("vm out", "Write: trefoilpitch vm out VM"),
        ("vm out a b", "vm out does not take 'b'"),
        ("status now", "status does not take 'now'"),
        ("status --dry-run", "status has no flag --dry_run"),
        ("status --no_such=1", "Unknown command line flag 'no_such'"),
        ("status --format=xml", "neither table nor json"),
        ("status --admin_address=entry-1", "has no port"),
        ("status --admin_address=ftp://a:1", "is not host:port"),
        ("status --admin_address=a:99999", "is not host:port"),
        ("status --admin_address=,", "needs at least one address"),
        ("status --timeout_ms=0", "--timeout_ms (TREFOILPITCH_TIMEOUT_MS)"),
        (
            "status --admin_token=a\u00e9",
            "contains characters that are not allowed in a token",
        ),
        ("vm out a --expected_revision=last", "is not a whole number"),
        ("vm out a --wait --wait_ms=soon", "is not between 1 and"),
        ("vm out a --author=", "no author was given"),
        ("version withdraw sermon-small", "Write it as MODEL@VERSION"),
        ("rollout start @2026.11", "Write it as MODEL@VERSION"),
        ("bundle check no-such-file", "cannot be read: No such file"),
        ("bundle check .", "cannot be read: Is a directory"),
    ],
)
def test_usage_errors_are_explained_and_nothing_is_sent(
    words: str, expected: str
) -> None:
    operator = signed_off()
    result = operator.run(*words.split(), environment=_without_user())
    assert result.status is ExitStatus.USAGE
    assert expected in result.err
    assert "Traceback" not in result.err
    assert operator.fleet.configuration.revision == 1


def test_every_fault_of_the_settings_is_listed_at_once() -> None:
    result = Operator().run(
        "vm", "out", "a", "--format=xml", "--timeout_ms=0", "--wait_ms=0"
    )
    for flag in ("--format", "--timeout_ms", "--wait_ms"):
        assert flag in result.err


@pytest.mark.parametrize("command", COMMANDS, ids=lambda each: each.name)
def test_every_command_has_help(command: Command) -> None:
    result = Operator().run(*command.name.split(), "--help")
    assert result.status is ExitStatus.DONE
    assert result.out.startswith(f"Usage: {command.usage}")
    for flag in command.flags:
        assert f"--{flag}" in result.out


@pytest.mark.parametrize(
    "command",
    [each for each in COMMANDS if "admin_token" in each.flags],
    ids=lambda each: each.name,
)
def test_a_missing_token_is_reported_before_anything_is_sent(
    command: Command,
) -> None:
    arguments = {"FILE": ARCHIVE, "MODEL@VERSION": "a@b"}
    words = [arguments.get(each, "a") for each in command.parameters]
    result = Operator().run(
        *command.name.split(), *words, environment={"USER": "mere"}
    )
    assert result.status is ExitStatus.USAGE
    assert "TREFOILPITCH_ADMIN_TOKEN" in result.err


def test_flags_override_the_environment_and_that_the_defaults() -> None:
    operator = signed_off()
    environment = {**ENVIRONMENT, "TREFOILPITCH_FORMAT": "json"}
    assert operator.run("status", environment=environment).json()["bundle"]
    in_table = operator.run("status", "--format=table", environment=environment)
    assert in_table.out.startswith("bundle archive 1, revision 1")


def test_invalid_settings_that_a_command_does_not_use_are_ignored() -> None:
    environment = {
        "TREFOILPITCH_ADMIN_ADDRESS": "nowhere",
        "TREFOILPITCH_CHANGE_ID": "old",
    }
    result = Operator().run("bundle", "check", ARCHIVE, environment=environment)
    assert result.status is ExitStatus.DONE


def test_flags_may_occur_anywhere_and_use_hyphens() -> None:
    result = signed_off().run("--dry-run", "vm", "out", "entry-1")
    assert result.status is ExitStatus.DONE
    assert "nothing was changed" in result.out


def test_a_faulty_bundle_is_refused_with_the_path_of_each_fault(
    tmp_path: pathlib.Path,
) -> None:
    text = pathlib.Path(ARCHIVE).read_text()
    text = text.replace('default_version = "2026.09"', 'default_version = "x"')
    text = text.replace("weight = 8", "wieght = 8")
    path = tmp_path / "bundle.toml"
    path.write_text(text)
    operator = Operator()
    checked = operator.run("bundle", "check", str(path))
    assert checked.status is ExitStatus.REFUSED
    assert "models[0].default_version: the model has no" in checked.out
    assert "workspaces[0].wieght" in checked.out
    as_json = operator.run("bundle", "check", str(path), "--format=json")
    places = [fault["place"] for fault in as_json.json()["faults"]]
    assert "workspaces[0].wieght" in places
    assert as_json.json()["error"]["kind"] == "refused"
    refused = operator.run("bundle", "sign-off", str(path))
    assert refused.status is ExitStatus.REFUSED
    assert operator.fleet.configuration.revision == 0


@pytest.mark.parametrize(
    ("words", "status", "advice"),
    [
        ("status --admin_token=x", ExitStatus.UNAUTHENTICATED, "ADMIN_TOKEN"),
        ("domain out no-such", ExitStatus.REFUSED, "bundle show"),
        ("vm out entri-1", ExitStatus.REFUSED, "did you mean entry-1?"),
        ("vm out other", ExitStatus.REFUSED, "--allow_unknown"),
        ("domain in suva", ExitStatus.REFUSED, "nothing to do"),
        ("rollout pause sermon-small", ExitStatus.REFUSED, "bundle show"),
        ("rollout advance sermon-small", ExitStatus.REFUSED, "rollout status"),
        ("version withdraw a@b", ExitStatus.REFUSED, "bundle show"),
        (f"bundle sign-off {ARCHIVE}", ExitStatus.REFUSED, "Raise the"),
        ("vm out a --change_id=a\x07", ExitStatus.REFUSED, "Correct"),
        (
            "vm out entry-1 --expected_revision=7",
            ExitStatus.CONFLICT,
            "history",
        ),
        ("entries", ExitStatus.UNAUTHENTICATED, "administration port"),
    ],
)
def test_refusals_advise_the_operator(
    words: str, status: ExitStatus, advice: str
) -> None:
    operator = signed_off()
    result = operator.run(*words.split(" "))
    assert result.status is status, result.err
    assert advice in result.err
    assert operator.fleet.configuration.revision == 1


def test_control_characters_in_names_are_escaped() -> None:
    result = signed_off().run("domain", "out", "a\x1b[2J")
    assert "\\x1b[2J" in result.err
    assert "\x1b" not in result.err


def _without_user() -> dict[str, str]:
    return {k: v for k, v in ENVIRONMENT.items() if k != "USER"}
