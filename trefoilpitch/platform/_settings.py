"""Reads the platform's settings file."""

from __future__ import annotations

import dataclasses
import math
import os
import pathlib
import tomllib
from typing import Any

from trefoilpitch.gateway import ListenAddress, NodeSettings

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "TREFOILPITCH_BOOT"
# Environment variable with the port that serves metrics and the state; if it is
# unset, they are not served.
METRICS_VARIABLE = "TREFOILPITCH_METRICS_PORT"
_MS_PER_S = 1_000
# Used if the settings do not say within which time a configuration applies.
_APPLY_MS = 2_000
_MAX_PORT = 65_535
# Limits of the process above this one mean the same.
_MAX_LIMIT = 1e9


class PlatformSettingsError(Exception):
    """The settings are missing or invalid."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """The settings of one process."""

    # Settings of the daemon itself.
    node: NodeSettings
    # Region of the VM.
    region: str
    # Address of the platform's store.
    store: ListenAddress
    # How long callers may cache the addresses of the directory.
    directory_ttl_s: float


def read_settings(incarnation: str) -> PlatformSettings:
    """Reads the settings file named by the environment.

    Args:
        incarnation: Identifies this run of the daemon.

    Raises:
        PlatformSettingsError: If the file is missing or invalid.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise PlatformSettingsError(
            f"environment variable {SETTINGS_VARIABLE} is not set"
        )
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(f"{path}: {error}") from error
    return parse_settings(
        text, incarnation, os.environ.get(METRICS_VARIABLE, "")
    )


def parse_settings(
    text: str, incarnation: str, metrics_port: str = ""
) -> PlatformSettings:
    """Decodes settings in the platform's format.

    Args:
        text: Content of the settings file.
        incarnation: Identifies this run of the daemon.
        metrics_port: Port that serves metrics; empty to serve none.

    Raises:
        PlatformSettingsError: If they are not TOML, incomplete or invalid.
    """
    try:
        table = tomllib.loads(text)
        return _decode(table, incarnation, metrics_port)
    except tomllib.TOMLDecodeError as error:
        raise PlatformSettingsError(f"not TOML: {error}") from error
    except KeyError as error:
        raise PlatformSettingsError(
            f"setting {error.args[0]} is missing"
        ) from error
    except (
        TypeError,
        ValueError,
        AttributeError,
        IndexError,
        OverflowError,
        RecursionError,
    ) as error:
        raise PlatformSettingsError(f"invalid value: {error}") from error


def _decode(
    table: dict[str, Any], incarnation: str, metrics_port: str
) -> PlatformSettings:
    listen = table["listen"]
    bounds = table["bounds"]
    first_port = _port(table["port-range"][0])
    metrics = None
    if metrics_port:
        metrics = ListenAddress(host=str(table["ip"]), port=_port(metrics_port))
    node = NodeSettings(
        name=str(table["node"]),
        incarnation=incarnation,
        failure_domain=str(table["zone"]),
        callers=_address(listen["front"]),
        readiness=_address(listen["ready"]),
        directory=_address(listen["directory"]),
        peers=_address(listen["control"]),
        heartbeats=ListenAddress(host=str(table["ip"]), port=first_port),
        seeds=tuple(_address(seed) for seed in table.get("seeds", ())),
        grace_ms=int(_quantity(bounds["grace-s"]) * _MS_PER_S),
        apply_ms=int(_quantity(bounds.get("config-apply-ms", _APPLY_MS))),
        retry_ratio=_quantity(bounds["retry-ratio"]),
        retry_slack=_quantity(bounds["retry-slack"]),
        retry_window_ms=int(_quantity(bounds["retry-window-s"]) * _MS_PER_S),
        metrics=metrics,
        memory_mb=_limit(table, "memory-mb"),
        max_descriptors=_descriptors(table),
    )
    return PlatformSettings(
        node=node,
        region=str(table["region"]),
        store=_address(table["platform"]["address"]),
        directory_ttl_s=min(2.0, _quantity(bounds.get("ttl_max_s", 2.0))),
    )


def _address(text: str) -> ListenAddress:
    host, _, port = text.rpartition(":")
    return ListenAddress(host=host, port=_port(port))


def _port(value: str | int) -> int:
    port = int(value)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return port


def _limit(table: dict[str, Any], name: str) -> float | None:
    """Returns a limit of the process; None if there is none."""
    value = table.get("limits", {}).get(name)
    return None if value is None else min(_MAX_LIMIT, _quantity(value))


def _descriptors(table: dict[str, Any]) -> int | None:
    limit = _limit(table, "max-fds")
    return None if limit is None else int(limit)


def _quantity(value: str | float) -> float:
    number = float(value)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{value} is negative or not finite")
    return number
