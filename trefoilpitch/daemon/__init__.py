"""The daemon that runs on every entry VM."""

from trefoilpitch.daemon._exceptions import SettingsError
from trefoilpitch.daemon._main import main, run
from trefoilpitch.daemon._settings import (
    Address,
    Settings,
    parse_address,
    read_settings,
)

__all__ = [
    "Address",
    "Settings",
    "SettingsError",
    "main",
    "parse_address",
    "read_settings",
    "run",
]
