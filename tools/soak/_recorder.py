"""Records what the soak does, with its time."""

from __future__ import annotations

import time

from tools.soak._checks import Ban, Disturbance, History

FOREVER_MS = 1 << 40


class Recorder:
    """The history of a run, and its clock."""

    def __init__(self) -> None:
        self.history = History()
        self._started_s = time.monotonic()

    def now_ms(self) -> int:
        """Returns the time since the start."""
        return int((time.monotonic() - self._started_s) * 1_000)

    def disturb(
        self, subject: str | None, for_ms: int, *, planned: bool = False
    ) -> None:
        """Records that something is not as it should be from now on.

        Args:
            subject: A daemon, a worker, or None for the store.
            for_ms: How long.
            planned: Whether it is a planned stop.
        """
        now_ms = self.now_ms()
        self.history.disturbances.append(
            Disturbance(
                subject=subject,
                from_ms=now_ms,
                to_ms=now_ms + for_ms,
                planned=planned,
            )
        )

    def ban(self, *, bound_ms: int, **what: str) -> None:
        """Records that something must get no request any more.

        Args:
            bound_ms: In which time that has to be in force.
            **what: A worker, a domain or a prefix, as fields of `Ban`.
        """
        self.history.bans.append(
            Ban(
                from_ms=self.now_ms(),
                bound_ms=bound_ms,
                to_ms=FOREVER_MS,
                **what,
            )
        )
