"""A request that ends each worker which begins to run it."""

from __future__ import annotations

import asyncio

from review.support_2.deployment import CONTACT_S, DaemonProcess, Deployment
from review.support_2.standins import PlatformWorkerStandIn

_TARGET = "/plain/deadly"
_BODY = b"deadly"
_SOUND_TARGET = "/plain/sound"
# A crashed worker is back after some seconds.
_RESTART_MS = 2_000
_INTERVAL_S = 0.7
_SOUND_INTERVAL_S = 0.1
# Retries that may reach workers later than `contact-ms` after the third crash.
_MAX_RETRIES = 3


class DeadlyRequest:
    """The request, and what it does to the workers.

    Args:
        deployment: The deployment that it comes to.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._crashed_s: list[float] = []
        self._arrived_s: list[float] = []

    async def add_workers(self, count: int) -> None:
        """Starts workers that the request ends."""
        for number in range(count):
            worker = await self._deployment.add_worker(
                f"i-{number}", "plain-service"
            )
            self._watch(worker)

    def _watch(self, worker: PlatformWorkerStandIn) -> None:
        noted = worker.on_run

        def on_run(run: object) -> None:
            noted(run)
            if getattr(run, "body", b"") != _BODY:
                return
            now_s = self._deployment.record.now_s()
            self._arrived_s.append(now_s)
            self._crashed_s.append(now_s + worker.crash_delay_ms / 1_000)
            self._deployment.expire_entry(worker.worker_id)

        worker.on_run = on_run
        worker.crashing_requests = frozenset({(f"POST {_TARGET}", _BODY)})
        worker.restart_delay_ms = _RESTART_MS

    async def send_sound(self, daemon: DaemonProcess) -> None:
        """Sends sound requests to a machine until cancelled."""
        while True:
            self._deployment.spawn(self._send(daemon, _SOUND_TARGET, b""))
            await asyncio.sleep(_SOUND_INTERVAL_S)

    async def send_for(self, daemon: DaemonProcess, duration_s: float) -> None:
        """Sends the request to a machine again and again."""
        end_s = self._deployment.record.now_s() + duration_s
        while self._deployment.record.now_s() < end_s:
            self._deployment.spawn(self._send(daemon, _TARGET, _BODY))
            await asyncio.sleep(_INTERVAL_S)

    async def _send(
        self, daemon: DaemonProcess, target: str, body: bytes
    ) -> None:
        prefix = "deadly" if body else "sound"
        await self._deployment.request(daemon, target, prefix, body=body)

    def holds(self, in_touch_s: float, until_s: float) -> bool:
        """Returns whether the rule BUDGET held.

        Args:
            in_touch_s: Since when the machine has been in touch.
            until_s: Until when it was observed.
        """
        record = self._deployment.record
        if len(self._crashed_s) < 3:
            record.note("the request crashed fewer than three workers")
            return True
        third_s = sorted(self._crashed_s)[2]
        from_s = max(third_s + CONTACT_S, in_touch_s)
        late = [t for t in self._arrived_s if from_s < t <= until_s]
        record.note(
            f"{len(self._crashed_s)} crashes, the third at {third_s:.3f};"
            f" {len(late)} arrivals of the request after {from_s:.3f}"
            f" (the rule permits {_MAX_RETRIES}):"
            f" {', '.join(f'{t:.3f}' for t in late)}"
        )
        return len(late) <= _MAX_RETRIES
