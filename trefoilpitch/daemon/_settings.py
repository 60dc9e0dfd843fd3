"""Settings from flags and environment variables, validated together.

A flag overrides the environment variable ``TREFOILPITCH_<FLAG>``, which
overrides the default.
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
    """The IP address and port of a socket."""

    # IP address, IPv6 without brackets; names are not resolved.
    host: str
    # From 1 to 65535.
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings of one daemon."""

    # The VM's name, unique in the deployment.
    vm_name: str
    # The VM's failure domain.
    failure_domain: str
    # Peer messages of other deployments are dropped.
    deployment: str
    # Listen address for callers.
    caller_address: Address
    # Listen address of the administration API.
    admin_address: Address
    # Listen address for messages of other daemons.
    peer_address: Address
    # The platform's key-value service.
    store_address: Address
    # The platform's list of VMs; None if there is none.
    vm_list_address: Address | None
    # The service that rates responses; None if there is none.
    rating_address: Address | None
    # Addresses of peers to contact besides those of the VM list.
    seeds: tuple[Address, ...]
    # Failure domains with entry VMs; others are discovered through peers.
    failure_domains: tuple[str, ...]
    # Authenticates peer messages and signs callers' tokens.
    shared_key: bytes
    # Also accepted during key rotation.
    other_shared_key: bytes | None
    # SHA-256 of the administration token, in hexadecimal.
    admin_token_sha256: str
    # Daemons of each failure domain that watch the store.
    relays_per_domain: int
    # Size limit of the configuration deltas kept for peers; 0 keeps none.
    max_delta_bytes: int
    # Caller requests served concurrently.
    max_requests: int
    # Largest request body, in bytes.
    max_body_bytes: int
    # Fraction of complete responses sent to the rating service, 0 to 1.
    rating_share: float
    # Candidates for the lease to order a failure domain's engines; 0 gives
    # no orders.
    order_candidates: int
    # Concurrent loads from the weight store per failure domain.
    max_loads: int
    # Interval at which one more load may start per failure domain.
    load_interval_ms: int
    # Whether each log line is a JSON object instead of text.
    json_logs: bool


def read_settings(
    argv: Sequence[str], environment: Mapping[str, str]
) -> Settings:
    """Reads and validates the settings.

    Args:
        argv: The command line with the program's name first.
        environment: The environment variables.

    Raises:
        SettingsError: If any setting is invalid; lists all errors.
    """
    values, errors = _parse(argv)
    reader = _Reader(values, environment, errors)
    settings = _read(reader)
    if reader.errors:
        raise SettingsError(tuple(reader.errors))
    return settings


def describe_flags() -> str:
    """Returns the help text of every flag."""
    return str(_define_flags().get_help())


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    for name, default, description in _FLAGS:
        help_text = f"{description} (default: {default or 'none'})"
        flags.DEFINE_string(name, None, help_text, flag_values=values)
    return values


_FLAGS = (
    ("vm_name", "", "The VM's name, unique in the deployment."),
    ("failure_domain", "", "The VM's failure domain."),
    ("deployment", "default", "Names the deployment."),
    ("caller_address", "127.0.0.1:8080", "IP address and port for callers."),
    ("admin_address", "127.0.0.1:8081", "IP address and port for operators."),
    ("peer_address", "127.0.0.1:8082", "IP address and port for daemons."),
    ("store_address", "127.0.0.1:2379", "The key-value service's gateway."),
    ("vm_list_address", "", "The platform's list of VMs."),
    ("rating_address", "", "The service that rates responses."),
    ("seeds", "", "Peer addresses, separated by commas."),
    ("failure_domains", "", "Domains with entry VMs, separated by commas."),
    ("shared_key", "", "Key shared by all daemons, 16 characters or more."),
    ("other_shared_key", "", "Also accepted during key rotation."),
    ("admin_token_sha256", "", "SHA-256 of the administration token."),
    ("relays_per_domain", "4", "Store watchers per failure domain."),
    ("max_delta_bytes", "32768", "Deltas kept for peers; 0: full bundles."),
    ("max_requests", "256", "Concurrent requests."),
    ("max_body_bytes", "8388608", "Largest request body, in bytes."),
    ("rating_share", "0.05", "Fraction of responses rated, 0 to 1."),
    ("order_candidates", "3", "Lease candidates per failure domain."),
    ("max_loads", "4", "Concurrent loads per failure domain."),
    ("load_interval_ms", "5000", "Interval of new loads per failure domain."),
    ("log_format", "text", "Either text or json."),
)


def _parse(argv: Sequence[str]) -> tuple[flags.FlagValues, list[str]]:
    values = _define_flags()
    try:
        rest = values(list(argv), known_only=True)
    except flags.Error as error:
        # absl raises here only for a flag without a value, which must be the
        # last argument; the rest of the command line is parsed without it.
        values, errors = _parse(argv[:-1])
        return values, [*errors, f"command line: {error}"]
    return values, [_explain_argument(argument) for argument in rest[1:]]


def _explain_argument(argument: str) -> str:
    if not argument.startswith("-"):
        return f"command line: unexpected argument {argument!r}"
    name = argument.lstrip("-").partition("=")[0]
    names = [flag[0] for flag in _FLAGS]
    close = difflib.get_close_matches(name, names, n=1)
    hint = f"; did you mean --{close[0]}?" if close else ""
    return f"command line: unknown flag --{name}{hint}"


class _Reader:
    """Reads single settings and collects their errors."""

    def __init__(
        self,
        values: flags.FlagValues,
        environment: Mapping[str, str],
        errors: list[str],
    ) -> None:
        self._values = values
        self._environment = environment
        self._defaults = {name: default for name, default, _ in _FLAGS}
        self.errors = errors

    def text(self, name: str) -> str:
        """Returns the unparsed value of a setting."""
        flag = self._values[name].value
        if flag is not None:
            return str(flag)
        variable = ENVIRONMENT_PREFIX + name.upper()
        return self._environment.get(variable, self._defaults[name])

    def parsed(
        self, name: str, parse: Callable[[str], Any], fallback: Any
    ) -> Any:
        """Returns the parsed setting; if invalid, records an error."""
        text = self.text(name)
        try:
            return parse(text)
        except ValueError as error:
            variable = ENVIRONMENT_PREFIX + name.upper()
            self.errors.append(f"--{name} ({variable}): {error}")
            return fallback


def _read(reader: _Reader) -> Settings:
    placeholder = Address(host="0.0.0.0", port=0)
    return Settings(
        vm_name=reader.parsed("vm_name", _name, ""),
        failure_domain=reader.parsed("failure_domain", _name, ""),
        deployment=reader.parsed("deployment", _name, ""),
        caller_address=reader.parsed(
            "caller_address", parse_address, placeholder
        ),
        admin_address=reader.parsed(
            "admin_address", parse_address, placeholder
        ),
        peer_address=reader.parsed("peer_address", parse_address, placeholder),
        store_address=reader.parsed(
            "store_address", parse_address, placeholder
        ),
        vm_list_address=reader.parsed(
            "vm_list_address", _optional_address, None
        ),
        rating_address=reader.parsed("rating_address", _optional_address, None),
        seeds=reader.parsed("seeds", _addresses, ()),
        failure_domains=reader.parsed("failure_domains", _names, ()),
        shared_key=reader.parsed("shared_key", _key, b""),
        other_shared_key=reader.parsed("other_shared_key", _optional_key, None),
        admin_token_sha256=reader.parsed("admin_token_sha256", _sha256, ""),
        relays_per_domain=reader.parsed(
            "relays_per_domain", _integer(1, 4_096), 1
        ),
        max_delta_bytes=reader.parsed(
            "max_delta_bytes", _integer(0, 1 << 20), 0
        ),
        max_requests=reader.parsed("max_requests", _integer(1, 4_096), 1),
        max_body_bytes=reader.parsed(
            "max_body_bytes", _integer(1_024, 1 << 30), 1_024
        ),
        rating_share=reader.parsed("rating_share", _fraction, 0.0),
        order_candidates=reader.parsed("order_candidates", _integer(0, 16), 0),
        max_loads=reader.parsed("max_loads", _integer(1, 1_000), 1),
        load_interval_ms=reader.parsed(
            "load_interval_ms", _integer(100, 3_600_000), 100
        ),
        json_logs=reader.parsed("log_format", _is_json, False),
    )


def parse_address(text: str) -> Address:
    """Parses ``IP:port``.

    Raises:
        ValueError: If it is not an IP address and a port.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError(f"{text!r} is not an IP address and a port")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        message = f"{host!r} is not an IP address; names are not resolved"
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
        raise ValueError(
            f"{text!r} may contain only letters, digits and hyphens"
        )
    return text


def _names(text: str) -> tuple[str, ...]:
    return tuple(_name(part) for part in text.split(",") if part)


def _key(text: str) -> bytes:
    if not text:
        raise ValueError("is required")
    if len(text) < _MIN_KEY_LENGTH:
        raise ValueError(f"must have at least {_MIN_KEY_LENGTH} characters")
    return text.encode()


def _optional_key(text: str) -> bytes | None:
    return _key(text) if text else None


def _sha256(text: str) -> str:
    if not text:
        raise ValueError("is required")
    if not _SHA256.match(text):
        raise ValueError("is not 64 lower-case hexadecimal digits")
    return text


def _integer(lowest: int, highest: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        if not text.isdecimal() or not lowest <= int(text) <= highest:
            message = f"{text!r} is not between {lowest} and {highest}"
            raise ValueError(message)
        return int(text)

    return parse


def _fraction(text: str) -> float:
    value = float(text)
    if not 0.0 <= value <= 1.0:
        raise ValueError(f"{text!r} is not between 0 and 1")
    return value


def _is_json(text: str) -> bool:
    if text not in ("text", "json"):
        raise ValueError(f"{text!r} is neither text nor json")
    return text == "json"
