"""Recognizes workspaces that send far more than they usually do.

Load pattern: one workspace sends 7.5 times its usual rate for some seconds and
competes with all others for capacity. Only what exceeds its usual rate by far
is told apart, so that its usual requests are served like those of others.
"""

from __future__ import annotations

import dataclasses
import math

# Time constant of the usual rate: longer than two waves of 15 s.
_USUAL_MS = 30_000.0
# A rate is judged after this time, which covers the ups and downs of a wave.
_MIN_HISTORY_MS = 5_000
# Multiple of the usual rate that is not in excess: above what a wave of 55 %
# and the uneven choice of daemons by callers make of it.
_USUAL_FACTOR = 2.5
# Requests over that rate that are not in excess: those of this time at the
# usual rate, and a few.
_BURST_MS = 1_000
_MIN_BURST = 4.0


@dataclasses.dataclass(slots=True)
class _Workspace:
    # Requests that were not in excess, where older ones count exponentially
    # less, and the monotonic time of the last one.
    count: float
    counted_ms: int
    # Requests that would not be in excess now.
    credit: float = _MIN_BURST


class WorkspaceRates:
    """The usual rates of one service's workspaces at this daemon.

    The workspaces are those of the configuration, so that their number is
    limited.

    Args:
        now_ms: The monotonic time.
    """

    def __init__(self, now_ms: int) -> None:
        self._started_ms = now_ms
        self._workspaces: dict[str, _Workspace] = {}

    def record(self, name: str, now_ms: int) -> bool:
        """Records a request of a workspace.

        Args:
            name: The workspace.
            now_ms: The monotonic time.

        Returns:
            Whether it is in excess of the workspace's usual rate.
        """
        workspace = self._workspaces.get(name)
        if workspace is None:
            workspace = _Workspace(self._mean_count(), now_ms)
            self._workspaces[name] = workspace
        elapsed_ms = now_ms - workspace.counted_ms
        history_ms = now_ms - self._started_ms
        window_ms = _USUAL_MS * (1.0 - math.exp(-history_ms / _USUAL_MS))
        usual_per_ms = workspace.count / max(1.0, window_ms)
        workspace.count *= math.exp(-elapsed_ms / _USUAL_MS)
        workspace.counted_ms = now_ms
        workspace.credit = min(
            _MIN_BURST + usual_per_ms * _BURST_MS,
            workspace.credit + _USUAL_FACTOR * usual_per_ms * elapsed_ms,
        )
        judged = history_ms >= _MIN_HISTORY_MS
        if judged and workspace.credit < 1.0:
            return True
        workspace.credit = max(0.0, workspace.credit - 1.0)
        workspace.count += 1.0
        return False

    def _mean_count(self) -> float:
        """Returns the mean of the workspaces, taken as usual for a new one."""
        counts = [workspace.count for workspace in self._workspaces.values()]
        return sum(counts) / max(1, len(counts))
