"""The settings file of the platform."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import tomllib
from typing import Any

from trefoilpitch.gateway import ListenAddress, NodeSettings

# Names the settings file.
SETTINGS_VARIABLE = "TREFOILPITCH_BOOT"
# The port on which counters and the state are served; none if it is unset.
METRICS_VARIABLE = "TREFOILPITCH_METRICS_PORT"
_MS_PER_S = 1_000


class PlatformSettingsError(Exception):
    """The settings file can't be read."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """What the platform tells a process."""

    # What the daemon itself needs.
    node: NodeSettings
    # The region of the VM.
    region: str
    # Where the platform's store listens.
    store: ListenAddress
    # How long callers may use an answer of the directory.
    directory_ttl_s: float


def read_settings(incarnation: str) -> PlatformSettings:
    """Reads the file that the environment names.

    Args:
        incarnation: Name of this start.

    Raises:
        PlatformSettingsError: If there is none, or it lacks something.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise PlatformSettingsError(f"{SETTINGS_VARIABLE} names no file")
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
    """Reads settings in the platform's format.

    Args:
        text: The settings file.
        incarnation: Name of this start.
        metrics_port: Where counters are served; empty serves none.

    Raises:
        PlatformSettingsError: If they are not TOML, or lack something.
    """
    try:
        table = tomllib.loads(text)
        return _decode(table, incarnation, metrics_port)
    except tomllib.TOMLDecodeError as error:
        raise PlatformSettingsError(f"not TOML: {error}") from error
    except KeyError as error:
        raise PlatformSettingsError(f"{error.args[0]} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise PlatformSettingsError(f"a value does not fit: {error}") from error


def _decode(
    table: dict[str, Any], incarnation: str, metrics_port: str
) -> PlatformSettings:
    listen = table["listen"]
    bounds = table["bounds"]
    first_port = int(table["port-range"][0])
    metrics = None
    if metrics_port:
        metrics = ListenAddress(host=str(table["ip"]), port=int(metrics_port))
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
        grace_ms=int(float(bounds["grace-s"]) * _MS_PER_S),
        retry_ratio=float(bounds["retry-ratio"]),
        retry_slack=float(bounds["retry-slack"]),
        retry_window_ms=int(float(bounds["retry-window-s"]) * _MS_PER_S),
        metrics=metrics,
    )
    return PlatformSettings(
        node=node,
        region=str(table["region"]),
        store=_address(table["platform"]["address"]),
        directory_ttl_s=min(2.0, float(bounds.get("ttl_max_s", 2.0))),
    )


def _address(text: str) -> ListenAddress:
    host, _, port = text.rpartition(":")
    return ListenAddress(host=host, port=int(port))
