"""Settings of the command line: flags and environment variables.

A flag goes before the environment variable ``TREFOILPITCH_<FLAG>``, which
goes before the default.
"""

from __future__ import annotations

import dataclasses
import os
import pwd
from collections.abc import Callable, Collection, Mapping
from typing import TypeVar

import urllib3.exceptions
import urllib3.util

from trefoilpitch.cli._exceptions import UsageError
from trefoilpitch.cli._flags import FLAGS, environment_variable

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
    # Whether a VM may be taken out that the answering node does not know.
    allow_unknown: bool
    # The workspace whose bills to list; empty for totals only.
    workspace: str
    # The step that a roll-out stands at; None to ask for it.
    from_step: int | None


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
        author=_author(reader, given, environment),
        wait=reader.read("wait", _switch, False),
        wait_ms=reader.read("wait_ms", _milliseconds, 1),
        allow_unknown=reader.read("allow_unknown", _switch, False),
        workspace=reader.text("workspace"),
        from_step=reader.read("from_step", _whole, None),
    )
    if reader.faults:
        raise UsageError("\n".join(reader.faults), "See trefoilpitch --help.")
    return settings


def _author(
    reader: _Reader, given: Mapping[str, str], environment: Mapping[str, str]
) -> str:
    author = reader.text("author")
    if author or "author" in given:
        return author
    return environment.get("USER") or _account_name()


def _account_name() -> str:
    try:
        return pwd.getpwuid(os.getuid()).pw_name
    except KeyError:
        return ""


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
    # Without a scheme, a name before a colon would be taken for one.
    whole = text if "://" in text else f"http://{text}"
    try:
        url = urllib3.util.parse_url(whole)
    except urllib3.exceptions.LocationParseError as error:
        raise ValueError(message) from error
    is_plain = url.path in (None, "/") and url.query is None
    if url.scheme not in ("http", "https") or not url.host or not is_plain:
        raise ValueError(message)
    if url.port is None:
        raise ValueError(f"{text!r} has no port")
    return f"{url.scheme}://{url.host}:{url.port}"


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
