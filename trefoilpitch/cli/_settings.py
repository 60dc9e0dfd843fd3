"""Settings of the command line: flags and environment variables.

A flag goes before the environment variable ``TREFOILPITCH_<FLAG>``, which
goes before the default.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import TypeVar

import urllib3.exceptions
import urllib3.util
from absl import flags

from trefoilpitch.cli._exceptions import UsageError

ENVIRONMENT_PREFIX = "TREFOILPITCH_"

_T = TypeVar("_T")
_TRUE = ("true", "1", "yes")
_FALSE = ("false", "0", "no")
_MAX_WAIT_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CliSettings:
    """Everything that flags and environment say."""

    # Administration addresses as URLs, tried in order.
    admin_urls: tuple[str, ...]
    # The administration token; empty where none was given.
    admin_token: str
    # Caller addresses as URLs, tried in order.
    entry_urls: tuple[str, ...]
    # Failure domain that the entries are asked for; may be empty.
    failure_domain: str
    # Time for one request to one address, in milliseconds.
    timeout_ms: int
    # Whether the output is JSON.
    is_json: bool
    # Whether a change is only tried on the answering node.
    dry_run: bool
    # The revision that a change is based on; None for any.
    expected_revision: int | None
    # Identifies the change; empty for a fresh one.
    change_id: str
    # Who asks.
    author: str
    # Whether to wait until the change is in force everywhere.
    wait: bool
    # The longest wait, in milliseconds.
    wait_ms: int
    # The workspace whose bills to list; empty for totals only.
    workspace: str
    # The step that a roll-out stands at; None to ask for it.
    from_step: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class FlagSpec:
    """One flag."""

    # The flag's name.
    name: str
    # Its value where neither flag nor environment gives one.
    default: str
    # What it does, in one line.
    description: str
    # Whether it may be given without a value.
    is_switch: bool = False


FLAGS = (
    FlagSpec(
        "admin_address",
        "127.0.0.1:8081",
        "Administration addresses, host:port, separated by commas.",
    ),
    FlagSpec(
        "admin_token",
        "",
        "The administration token; better given in the environment.",
    ),
    FlagSpec(
        "entry_address",
        "127.0.0.1:8080",
        "Caller addresses, host:port, separated by commas.",
    ),
    FlagSpec("failure_domain", "", "Ask for entries near this failure domain."),
    FlagSpec(
        "timeout_ms", "10000", "Time for a request to one address, in ms."
    ),
    FlagSpec("format", "table", "Either table or json."),
    FlagSpec(
        "dry_run", "false", "Say what would change; change nothing.", True
    ),
    FlagSpec(
        "expected_revision", "", "Refuse unless this revision is the newest."
    ),
    FlagSpec(
        "change_id", "", "Identifies the change; give it again to repeat one."
    ),
    FlagSpec("author", "", "Who asks for the change (default: $USER)."),
    FlagSpec(
        "wait", "false", "Wait until the change is in force everywhere.", True
    ),
    FlagSpec("wait_ms", "30000", "The longest wait, in ms."),
    FlagSpec("workspace", "", "List the bills of this workspace."),
    FlagSpec(
        "from_step", "", "The step that the roll-out stands at (advance)."
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommandLine:
    """A command line whose flags have been told from its words."""

    # The words that are not flags, without the program's name.
    words: tuple[str, ...]
    # Whether help was asked for.
    wants_help: bool
    # The flags that were given, by name.
    given: Mapping[str, str]


def parse_command_line(argv: Sequence[str]) -> CommandLine:
    """Tells flags from words; flags may stand anywhere.

    Args:
        argv: The command line with the program's name first.

    Raises:
        UsageError: If a flag is unknown or lacks its value.
    """
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    for flag in FLAGS:
        define = flags.DEFINE_bool if flag.is_switch else flags.DEFINE_string
        define(flag.name, None, flag.description, flag_values=values)
    flags.DEFINE_bool("help", False, "Print help.", flag_values=values)
    try:
        words = values(_with_underscores(argv))
    except flags.Error as error:
        raise UsageError(str(error), "See trefoilpitch --help.") from error
    given = {
        flag.name: str(values[flag.name].value)
        for flag in FLAGS
        if values[flag.name].value is not None
    }
    return CommandLine(
        words=tuple(words[1:]),
        wants_help=bool(values["help"].value),
        given=given,
    )


def read_settings(
    given: Mapping[str, str],
    environment: Mapping[str, str],
    heeded: Collection[str],
) -> CliSettings:
    """Reads and checks the settings.

    Args:
        given: The flags that were given.
        environment: The environment variables.
        heeded: The flags that count; the others keep their defaults.

    Raises:
        UsageError: If any setting cannot be used; lists every fault.
    """
    reader = _Reader(given, environment, heeded)
    settings = CliSettings(
        admin_urls=reader.read("admin_address", _urls, ()),
        admin_token=reader.read("admin_token", _token, ""),
        entry_urls=reader.read("entry_address", _urls, ()),
        failure_domain=reader.text("failure_domain"),
        timeout_ms=reader.read("timeout_ms", _milliseconds, 1),
        is_json=reader.read("format", _is_json, False),
        dry_run=reader.read("dry_run", _switch, False),
        expected_revision=reader.read("expected_revision", _whole, None),
        change_id=reader.text("change_id"),
        author=reader.text("author") or environment.get("USER", ""),
        wait=reader.read("wait", _switch, False),
        wait_ms=reader.read("wait_ms", _milliseconds, 1),
        workspace=reader.text("workspace"),
        from_step=reader.read("from_step", _whole, None),
    )
    if reader.faults:
        raise UsageError("\n".join(reader.faults), "See trefoilpitch --help.")
    return settings


def environment_variable(flag: str) -> str:
    """Returns the name of the environment variable of a flag."""
    return ENVIRONMENT_PREFIX + flag.upper()


def _with_underscores(argv: Sequence[str]) -> list[str]:
    """Lets flags be written with hyphens as well."""
    normal = list(argv)
    for index, argument in enumerate(argv):
        if argument == "--":
            break
        if argument.startswith("--"):
            name, equals, value = argument[2:].partition("=")
            normal[index] = f"--{name.replace('-', '_')}{equals}{value}"
    return ["--help" if each == "-h" else each for each in normal]


class _Reader:
    """Reads single settings and collects their faults."""

    def __init__(
        self,
        given: Mapping[str, str],
        environment: Mapping[str, str],
        heeded: Collection[str],
    ) -> None:
        self._given = given
        self._environment = environment
        self._heeded = heeded
        self._defaults = {flag.name: flag.default for flag in FLAGS}
        self.faults: list[str] = []

    def text(self, name: str) -> str:
        """Returns a setting as written, or its default."""
        if name not in self._heeded:
            return self._defaults[name]
        if name in self._given:
            return self._given[name]
        variable = environment_variable(name)
        return self._environment.get(variable, self._defaults[name])

    def read(self, name: str, parse: Callable[[str], _T], fallback: _T) -> _T:
        """Returns a parsed setting; notes a fault if it does not parse."""
        try:
            return parse(self.text(name))
        except ValueError as error:
            variable = environment_variable(name)
            self.faults.append(f"--{name} ({variable}): {error}")
            return fallback


def _urls(text: str) -> tuple[str, ...]:
    parts = [part.strip() for part in text.split(",") if part.strip()]
    if not parts:
        raise ValueError("needs at least one address")
    return tuple(_url(part) for part in parts)


def _url(text: str) -> str:
    message = f"{text!r} is not host:port"
    try:
        url = urllib3.util.parse_url(text)
    except urllib3.exceptions.LocationParseError as error:
        raise ValueError(message) from error
    scheme = url.scheme or "http"
    is_plain = url.path in (None, "/") and url.query is None
    if scheme not in ("http", "https") or not url.host or not is_plain:
        raise ValueError(message)
    if url.port is None:
        raise ValueError(f"{text!r} has no port")
    return f"{scheme}://{url.host}:{url.port}"


def _token(text: str) -> str:
    if not text.isascii() or not text.isprintable() or " " in text:
        raise ValueError("holds characters that no token has")
    return text


def _milliseconds(text: str) -> int:
    if not text.isdecimal() or not 1 <= int(text) <= _MAX_WAIT_MS:
        raise ValueError(f"{text!r} is not between 1 and {_MAX_WAIT_MS}")
    return int(text)


def _whole(text: str) -> int | None:
    if not text:
        return None
    if not text.isdecimal():
        raise ValueError(f"{text!r} is not a whole number")
    return int(text)


def _switch(text: str) -> bool:
    lowered = text.lower()
    if lowered not in _TRUE + _FALSE:
        raise ValueError(f"{text!r} is neither true nor false")
    return lowered in _TRUE


def _is_json(text: str) -> bool:
    if text not in ("table", "json"):
        raise ValueError(f"{text!r} is neither table nor json")
    return text == "json"
