"""Records the soak's actions with their times."""

from __future__ import annotations

import time

from tools.soak._checks import Ban, Disturbance, History

FOREVER_MS = 1 << 40


class Recorder:
    """The history of a run and its clock."""

    def __init__(self) -> None:
        self.history = History()
        self._started_s = time.monotonic()

    def now_ms(self) -> int:
        """Returns the time since the start of the run."""
        return int((time.monotonic() - self._started_s) * 1_000)

    def disturb(
        self, subject: str | None, for_ms: int, *, planned: bool = False
    ) -> None:
        """Records a disturbance that starts now.

        Args:
            subject: Name of a daemon or worker, or None for the store.
            for_ms: Its duration.
            planned: Whether it is a graceful stop.
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
        """Records a ban that starts now.

        Args:
            bound_ms: Within which time all daemons have to comply.
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
