"""Checks that the operators' pages cover all commands and settings."""

import dataclasses
import pathlib
import re

import pytest

from trefoilpitch import bundle, daemon
from trefoilpitch.cli import ExitStatus
from trefoilpitch.cli._commands import COMMANDS
from trefoilpitch.cli._flags import FLAGS

_DOCS = pathlib.Path(__file__).resolve().parents[3] / "docs"
_CLI = (_DOCS / "CLI.md").read_text()
_CONFIGURATION = (_DOCS / "CONFIGURATION.md").read_text()


def test_every_command_and_flag_is_described() -> None:
    for command in COMMANDS:
        group, _, verb = command.name.partition(" ")
        pattern = rf"^\| `{group}\b[^`]*{re.escape(verb)}"
        assert re.search(pattern, _CLI, re.MULTILINE), command.name
    for flag in FLAGS:
        assert f"`--{flag.name}`" in _CLI, flag.name


@pytest.mark.parametrize("status", list(ExitStatus))
def test_every_exit_status_is_described(status: ExitStatus) -> None:
    name = status.name.lower().replace("_", " ")
    assert f"| {int(status)} | {name} |" in _CLI


def test_every_flag_of_the_daemon_is_described_with_its_default(
    capsys: pytest.CaptureFixture[str],
) -> None:
    daemon.main(["trefoilpitchd", "--help"], {})
    text = " ".join(capsys.readouterr().out.split())
    # absl's own flags quote their defaults.
    flags = re.findall(r"--(\w+): [^(]*\(default: ([^'\s]+)\)", text)
    assert len(flags) > 10
    for name, default in flags:
        shown = r"(required|none)" if default == "none" else f"`{default}`"
        pattern = rf"^\| `--{name}` \| {shown} \|"
        assert re.search(pattern, _CONFIGURATION, re.MULTILINE), name


@pytest.mark.parametrize(
    ("heading", "node"),
    [
        ("Top level:", bundle.Bundle),
        ("`[[models]]`", bundle.Model),
        ("`[[models.versions]]`", bundle.ModelVersion),
        ("`[[pools]]`", bundle.Pool),
        ("`[[pools.upstreams]]`", bundle.Upstream),
        ("`[[tasks]]`", bundle.Task),
        ("`[[services]]`", bundle.Service),
        ("`[[services.operations]]`", bundle.Operation),
        ("`[[workspaces]]`", bundle.Workspace),
        ("`[[rollouts]]`", bundle.RolloutPlan),
    ],
)
def test_every_key_of_a_bundle_is_described(heading: str, node: type) -> None:
    section = _CONFIGURATION.split(f"\n{heading}", 1)[1].split("\n\n")[1]
    for field in dataclasses.fields(node):
        assert re.search(rf"^\| [^|]*`{field.name}`", section, re.MULTILINE)
