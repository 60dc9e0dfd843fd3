"""Entry point of the daemon on the platform."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import uuid

from trefoilpitch.clock import SystemClock
from trefoilpitch.gateway import JsonLineHandler, Node, log_event
from trefoilpitch.metrics import Label, Metrics
from trefoilpitch.platform._documents import PlatformDocuments
from trefoilpitch.platform._interfaces import PlatformInterfaces
from trefoilpitch.platform._requests import PlatformRequests
from trefoilpitch.platform._settings import (
    PlatformSettings,
    PlatformSettingsError,
    read_settings,
)
from trefoilpitch.platform._store import PlatformStore

_USAGE_ERROR = 2


def main() -> int:
    """Runs the daemon until a signal stops it; returns the exit status."""
    incarnation = uuid.uuid4().hex[:12]
    try:
        settings = read_settings(incarnation)
    except PlatformSettingsError as error:
        print(f"trefoilpitch: {error}", file=sys.stderr)
        return _USAGE_ERROR
    clock = SystemClock()
    handler = JsonLineHandler(clock.now_ms, clock.wall_ms, settings.node.name)
    with handler.applicationbound():
        log_event(
            "started",
            incarnation=incarnation,
            domain=settings.node.failure_domain,
        )
        asyncio.run(_run(settings, clock))
    return 0


async def _run(settings: PlatformSettings, clock: SystemClock) -> None:
    metrics = Metrics()

    def count_call(name: str) -> None:
        metrics.count("store_calls", Label(name="call", value=name))

    node = Node(
        settings.node,
        store=PlatformStore(settings.store, count_call),
        documents=PlatformDocuments(),
        requests=PlatformRequests(),
        auxiliary=PlatformInterfaces(settings.directory_ttl_s),
        clock=clock,
        rng=random.Random(),
        metrics=metrics,
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.leave)
    loop.add_signal_handler(signal.SIGINT, node.leave)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: _check_settings(settings.node.incarnation)
    )
    await node.run()


def _check_settings(incarnation: str) -> None:
    """Validates the settings file on SIGHUP; a change needs a restart."""
    try:
        settings = read_settings(incarnation)
    except PlatformSettingsError as error:
        log_event("settings_invalid", reason=str(error))
        return
    log_event("settings_valid", node=settings.node.name)
