"""Adapters between the users' platform and the gateway, and the daemon."""

from trefoilpitch.platform._main import main

__all__ = ["main"]
