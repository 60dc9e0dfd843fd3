"""Settings from flags and from the environment, checked together.

A flag goes before the environment variable ``TREFOILPITCH_<FLAG>``, which
goes before the default.
"""

from __future__ import annotations

import dataclasses
import difflib
import ipaddress
import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from absl import flags

from trefoilpitch.daemon._exceptions import SettingsError

ENVIRONMENT_PREFIX = "TREFOILPITCH_"

_MIN_KEY_LENGTH = 16
_MAX_PORT = 65_535
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9-]{0,62}\Z")
_SHA256 = re.compile(r"[0-9a-f]{64}\Z")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """Where a socket listens or connects."""

    # IP number.
    host: str
    # Port.
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Everything that a daemon is told at its start."""

    # The VM's name, unique in the deployment.
    vm_name: str
    # The failure domain that the VM runs in.
    failure_domain: str
    # Names the deployment; messages of another one are dropped.
    deployment: str
    # Where callers connect.
    caller_address: Address
    # Where operators connect.
    admin_address: Address
    # Where the other daemons connect.
    peer_address: Address
    # The platform's key-value service.
    store_address: Address
    # The platform's list of VMs; None where there is none.
    vm_list_address: Address | None
    # The service that rates answers; None where there is none.
    rating_address: Address | None
    # Peer addresses to try besides those of the VM list.
    seeds: tuple[Address, ...]
    # Failure domains that hold entry VMs; others are learnt from peers.
    failure_domains: tuple[str, ...]
    # Authenticates messages between daemons and signs callers' tokens.
    shared_key: bytes
    # Accepted as well while the shared key is being replaced.
    other_shared_key: bytes | None
    # SHA-256 of the administration token, in hexadecimal.
    admin_token_sha256: str
    # Daemons of each failure domain that watch the store.
    relays_per_domain: int
    # Deltas of the configuration kept for other daemons; 0 keeps none.
    max_delta_bytes: int
    # Requests served at once.
    max_requests: int
    # Largest request body, in bytes.
    max_body_bytes: int
    # Share of the whole answers that are sent to be rated, from 0 to 1.
    rating_share: float
    # Daemons that stand by to order a failure domain's engines; 0 is none.
    order_candidates: int
    # Loads from the weight store at once, for each failure domain.
    max_loads: int
    # Time in which one more load may begin, for each failure domain.
    load_interval_ms: int
    # Whether log lines are JSON.
    json_logs: bool


def read_settings(
    argv: Sequence[str], environment: Mapping[str, str]
) -> Settings:
    """Reads and checks the settings.

    Args:
        argv: The command line with the program's name first.
        environment: The environment variables.

    Raises:
        SettingsError: If any setting cannot be used; lists every fault.
    """
    values, faults = _parse(argv)
    reader = _Reader(values, environment, faults)
    settings = _read(reader)
    if reader.faults:
        raise SettingsError(tuple(reader.faults))
    return settings


def describe_flags() -> str:
    """Returns the help text of every flag."""
    return str(_define_flags().get_help())


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    for name, default, description in _FLAGS:
        shown = f"{description} (default: {default or 'none'})"
        flags.DEFINE_string(name, None, shown, flag_values=values)
    return values


_FLAGS = (
    ("vm_name", "", "The VM's name, unique in the deployment."),
    ("failure_domain", "", "The failure domain that the VM runs in."),
    ("deployment", "default", "Names the deployment."),
    ("caller_address", "127.0.0.1:8080", "IP number and port for callers."),
    ("admin_address", "127.0.0.1:8081", "IP number and port for operators."),
    ("peer_address", "127.0.0.1:8082", "IP number and port for daemons."),
    ("store_address", "127.0.0.1:2379", "The key-value service's gateway."),
    ("vm_list_address", "", "The platform's list of VMs."),
    ("rating_address", "", "The service that rates answers."),
    ("seeds", "", "Peer addresses to try, separated by commas."),
    ("failure_domains", "", "Those with entry VMs, separated by commas."),
    ("shared_key", "", "Key shared by all daemons, 16 characters or more."),
    ("other_shared_key", "", "Also accepted while the key is replaced."),
    ("admin_token_sha256", "", "SHA-256 of the administration token."),
    ("relays_per_domain", "4", "Daemons a failure domain watching the store."),
    ("max_delta_bytes", "32768", "Deltas kept for others; 0: whole bundles."),
    ("max_requests", "256", "Requests served at once."),
    ("max_body_bytes", "8388608", "Largest request body, in bytes."),
    ("rating_share", "0.05", "Share of answers to have rated, 0 to 1."),
    ("order_candidates", "3", "Daemons that stand by to order engines."),
    ("max_loads", "4", "Loads of versions at once, a failure domain."),
    ("load_interval_ms", "5000", "Time between loads, a failure domain."),
    ("log_format", "text", "Either text or json."),
)


def _parse(argv: Sequence[str]) -> tuple[flags.FlagValues, list[str]]:
    values = _define_flags()
    try:
        rest = values(list(argv), known_only=True)
    except flags.Error as error:
        # Such an error is about the last argument, a flag without its value.
        values, faults = _parse(argv[:-1])
        return values, [*faults, f"command line: {error}"]
    return values, [_explain_argument(argument) for argument in rest[1:]]


def _explain_argument(argument: str) -> str:
    if not argument.startswith("-"):
        return f"command line: unexpected argument {argument!r}"
    name = argument.lstrip("-").partition("=")[0]
    known = [flag[0] for flag in _FLAGS]
    close = difflib.get_close_matches(name, known, n=1)
    hint = f"; did you mean --{close[0]}?" if close else ""
    return f"command line: unknown flag --{name}{hint}"


class _Reader:
    """Reads single settings and collects their faults."""

    def __init__(
        self,
        values: flags.FlagValues,
        environment: Mapping[str, str],
        faults: list[str],
    ) -> None:
        self._values = values
        self._environment = environment
        self._defaults = {name: default for name, default, _ in _FLAGS}
        self.faults = faults

    def text(self, name: str) -> str:
        """Returns a setting as written, or its default."""
        flag = self._values[name].value
        if flag is not None:
            return str(flag)
        variable = ENVIRONMENT_PREFIX + name.upper()
        return self._environment.get(variable, self._defaults[name])

    def checked(
        self, name: str, parse: Callable[[str], Any], fallback: Any
    ) -> Any:
        """Returns a parsed setting; notes a fault if it does not parse."""
        text = self.text(name)
        try:
            return parse(text)
        except ValueError as error:
            variable = ENVIRONMENT_PREFIX + name.upper()
            self.faults.append(f"--{name} ({variable}): {error}")
            return fallback


def _read(reader: _Reader) -> Settings:
    nowhere = Address(host="0.0.0.0", port=0)
    return Settings(
        vm_name=reader.checked("vm_name", _name, ""),
        failure_domain=reader.checked("failure_domain", _name, ""),
        deployment=reader.checked("deployment", _name, ""),
        caller_address=reader.checked("caller_address", parse_address, nowhere),
        admin_address=reader.checked("admin_address", parse_address, nowhere),
        peer_address=reader.checked("peer_address", parse_address, nowhere),
        store_address=reader.checked("store_address", parse_address, nowhere),
        vm_list_address=reader.checked(
            "vm_list_address", _optional_address, None
        ),
        rating_address=reader.checked(
            "rating_address", _optional_address, None
        ),
        seeds=reader.checked("seeds", _addresses, ()),
        failure_domains=reader.checked("failure_domains", _names, ()),
        shared_key=reader.checked("shared_key", _key, b""),
        other_shared_key=reader.checked(
            "other_shared_key", _optional_key, None
        ),
        admin_token_sha256=reader.checked("admin_token_sha256", _sha256, ""),
        relays_per_domain=reader.checked(
            "relays_per_domain", _whole(1, 4_096), 1
        ),
        max_delta_bytes=reader.checked(
            "max_delta_bytes", _whole(0, 1 << 20), 0
        ),
        max_requests=reader.checked("max_requests", _whole(1, 4_096), 1),
        max_body_bytes=reader.checked(
            "max_body_bytes", _whole(1_024, 1 << 30), 1_024
        ),
        rating_share=reader.checked("rating_share", _share, 0.0),
        order_candidates=reader.checked("order_candidates", _whole(0, 16), 0),
        max_loads=reader.checked("max_loads", _whole(1, 1_000), 1),
        load_interval_ms=reader.checked(
            "load_interval_ms", _whole(100, 3_600_000), 100
        ),
        json_logs=reader.checked("log_format", _is_json, False),
    )


def parse_address(text: str) -> Address:
    """Returns the address that ``IP:port`` names.

    Raises:
        ValueError: If it is not an IP number and a port.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError(f"{text!r} is not an IP number and a port")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        message = f"{host!r} is not an IP number; names are not resolved"
        raise ValueError(message) from error
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {_MAX_PORT}")
    return Address(host=host, port=int(port))


def _optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part) for part in text.split(",") if part)


def _name(text: str) -> str:
    if not text:
        raise ValueError("is required")
    if not _NAME.match(text):
        raise ValueError(f"{text!r} may hold letters, digits and hyphens only")
    return text


def _names(text: str) -> tuple[str, ...]:
    return tuple(_name(part) for part in text.split(",") if part)


def _key(text: str) -> bytes:
    if not text:
        raise ValueError("is required")
    if len(text) < _MIN_KEY_LENGTH:
        raise ValueError(f"needs {_MIN_KEY_LENGTH} characters or more")
    return text.encode()


def _optional_key(text: str) -> bytes | None:
    return _key(text) if text else None


def _sha256(text: str) -> str:
    if not text:
        raise ValueError("is required")
    if not _SHA256.match(text):
        raise ValueError("is not 64 lower-case hexadecimal digits")
    return text


def _whole(lowest: int, highest: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        if not text.isdecimal() or not lowest <= int(text) <= highest:
            message = f"{text!r} is not between {lowest} and {highest}"
            raise ValueError(message)
        return int(text)

    return parse


def _share(text: str) -> float:
    value = float(text)
    if not 0.0 <= value <= 1.0:
        raise ValueError(f"{text!r} is not between 0 and 1")
    return value


def _is_json(text: str) -> bool:
    if text not in ("text", "json"):
        raise ValueError(f"{text!r} is neither text nor json")
    return text == "json"
