"""Settings of the command line, from flags and environment variables.

A flag takes precedence over the environment variable ``TREFOILPITCH_<FLAG>``,
which takes precedence over the default.
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
_MAX_DURATION_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CliSettings:
    """The parsed and validated settings."""

    # Base URLs of the administration API, in order of preference.
    admin_urls: tuple[str, ...]
    # Empty if no administration token was given.
    admin_token: str
    # Base URLs of the API for callers, in order of preference.
    entry_urls: tuple[str, ...]
    # Failure domain to query entries for; empty for any.
    failure_domain: str
    # Timeout of one request to one address, in milliseconds.
    timeout_ms: int
    # Whether the output is JSON.
    is_json: bool
    # Whether a change is only validated on the responding node.
    dry_run: bool
    # The revision that a change is based on; None for any.
    expected_revision: int | None
    # Idempotency key of the change; empty to generate one.
    change_id: str
    # The operator who requests a change; may be empty.
    author: str
    # Whether to wait until the change is in force on every live VM.
    wait: bool
    # Maximum duration of the wait, in milliseconds.
    wait_ms: int
    # Whether to accept a VM name that the responding node does not know.
    allow_unknown: bool
    # The workspace whose bills to list; empty for totals only.
    workspace: str
    # The current step of a roll-out; None to read it from the daemon.
    from_step: int | None


def read_settings(
    given_flags: Mapping[str, str],
    environment: Mapping[str, str],
    accepted_flags: Collection[str],
) -> CliSettings:
    """Parses and validates the settings.

    Args:
        given_flags: Values of the flags that were given, by flag name.
        environment: The environment variables.
        accepted_flags: The flags of the command; all others keep their
            defaults.

    Raises:
        UsageError: If any setting is invalid; lists every fault.
    """
    reader = _SettingsReader(given_flags, environment, accepted_flags)
    settings = CliSettings(
        admin_urls=reader.read("admin_address", _urls, ()),
        admin_token=reader.read("admin_token", _token, ""),
        entry_urls=reader.read("entry_address", _urls, ()),
        failure_domain=reader.text("failure_domain"),
        timeout_ms=reader.read("timeout_ms", _milliseconds, 1),
        is_json=reader.read("format", _is_json, False),
        dry_run=reader.read("dry_run", _boolean, False),
        expected_revision=reader.read(
            "expected_revision", _optional_integer, None
        ),
        change_id=reader.text("change_id"),
        author=_author(reader, given_flags, environment),
        wait=reader.read("wait", _boolean, False),
        wait_ms=reader.read("wait_ms", _milliseconds, 1),
        allow_unknown=reader.read("allow_unknown", _boolean, False),
        workspace=reader.text("workspace"),
        from_step=reader.read("from_step", _optional_integer, None),
    )
    if reader.faults:
        raise UsageError("\n".join(reader.faults), "See trefoilpitch --help.")
    return settings


def _author(
    reader: _SettingsReader,
    given_flags: Mapping[str, str],
    environment: Mapping[str, str],
) -> str:
    author = reader.text("author")
    if author or "author" in given_flags:
        return author
    return environment.get("USER") or _account_name()


def _account_name() -> str:
    try:
        return pwd.getpwuid(os.getuid()).pw_name
    except KeyError:
        return ""


class _SettingsReader:
    """Reads settings one by one and collects their faults."""

    def __init__(
        self,
        given_flags: Mapping[str, str],
        environment: Mapping[str, str],
        accepted_flags: Collection[str],
    ) -> None:
        self._given_flags = given_flags
        self._environment = environment
        self._accepted_flags = accepted_flags
        self._defaults = {flag.name: flag.default for flag in FLAGS}
        self.faults: list[str] = []

    def text(self, name: str) -> str:
        """Returns the text of a setting, or its default."""
        if name not in self._accepted_flags:
            return self._defaults[name]
        if name in self._given_flags:
            return self._given_flags[name]
        variable = environment_variable(name)
        return self._environment.get(variable, self._defaults[name])

    def read(self, name: str, parse: Callable[[str], _T], fallback: _T) -> _T:
        """Returns a parsed setting, or the fallback after recording a fault."""
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
    # Without a scheme, a host name before a colon would be parsed as one.
    url_text = text if "://" in text else f"http://{text}"
    try:
        url = urllib3.util.parse_url(url_text)
    except urllib3.exceptions.LocationParseError as error:
        raise ValueError(message) from error
    is_address_only = url.path in (None, "/") and url.query is None
    if (
        url.scheme not in ("http", "https")
        or not url.host
        or not is_address_only
    ):
        raise ValueError(message)
    if url.port is None:
        raise ValueError(f"{text!r} has no port")
    return f"{url.scheme}://{url.host}:{url.port}"


def _token(text: str) -> str:
    if not text.isascii() or not text.isprintable() or " " in text:
        raise ValueError("contains characters that are not allowed in a token")
    return text


def _milliseconds(text: str) -> int:
    if not text.isdecimal() or not 1 <= int(text) <= _MAX_DURATION_MS:
        raise ValueError(f"{text!r} is not between 1 and {_MAX_DURATION_MS}")
    return int(text)


def _optional_integer(text: str) -> int | None:
    if not text:
        return None
    if not text.isdecimal():
        raise ValueError(f"{text!r} is not a whole number")
    return int(text)


def _boolean(text: str) -> bool:
    lowered = text.lower()
    if lowered not in _TRUE + _FALSE:
        raise ValueError(f"{text!r} is neither true nor false")
    return lowered in _TRUE


def _is_json(text: str) -> bool:
    if text not in ("table", "json"):
        raise ValueError(f"{text!r} is neither table nor json")
    return text == "json"
