"""The project's stand-ins for the platform, without those of its other host.

The package `trefoilpitch.standins` imports libraries that the build of the
deploy file does not install. Only the modules for the users' platform are
loaded here.
"""

from __future__ import annotations

import importlib
import pathlib
import sys
import types

_PACKAGE = "trefoilpitch.standins"


def _package() -> None:
    """Registers the package without running its `__init__` module."""
    if _PACKAGE not in sys.modules:
        parent = importlib.import_module("trefoilpitch")
        folder = pathlib.Path(str(parent.__file__)).parent / "standins"
        package = types.ModuleType(_PACKAGE)
        package.__path__ = [str(folder)]
        sys.modules[_PACKAGE] = package


_package()
_store = importlib.import_module(f"{_PACKAGE}._platform_store")
_worker = importlib.import_module(f"{_PACKAGE}._platform_worker")
_config = importlib.import_module(f"{_PACKAGE}._platform_config")
_client = importlib.import_module(f"{_PACKAGE}._platform_client")
_ports = importlib.import_module(f"{_PACKAGE}._ports")

PlatformStoreStandIn = _store.PlatformStoreStandIn
PlatformWorkerStandIn = _worker.PlatformWorkerStandIn
config_document = _config.config_document
send = _client.send
free_port = _ports.free_port
