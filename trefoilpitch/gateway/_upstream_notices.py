"""What upstreams announce about themselves in their responses.

Load pattern: upstreams are replaced or overloaded while the shared state still
lists them as ready, or while this daemon cannot read it. An announcement binds
this daemon at once, whatever the shared state says.
"""

from __future__ import annotations

import dataclasses

from trefoilpitch.fleet import UpstreamEntry

# Upstreams that are remembered; the oldest are forgotten first. A fleet has
# some thousand upstreams, of which few leave at a time.
_MAX_UPSTREAMS = 4_096

# Identifies one run of an upstream: an upstream that starts again under its
# former id is not bound by what it announced before.
_Run = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Notice:
    leaving: bool = False
    paused_until_ms: int = 0


class UpstreamNotices:
    """Remembers which upstreams are leaving or asked for a pause."""

    def __init__(self) -> None:
        self._notices: dict[_Run, _Notice] = {}

    def record_leaving(self, entry: UpstreamEntry) -> bool:
        """Records that an upstream is leaving; returns whether that is new."""
        notice = self._notice(entry)
        is_new = not notice.leaving
        notice.leaving = True
        return is_new

    def record_pause(self, entry: UpstreamEntry, until_ms: int) -> None:
        """Records that an upstream wants no requests for some time.

        Args:
            entry: The upstream.
            until_ms: Monotonic time of the end of the pause; an earlier end
                than that of a known pause has no effect.
        """
        notice = self._notice(entry)
        notice.paused_until_ms = max(notice.paused_until_ms, until_ms)

    def is_leaving(self, entry: UpstreamEntry) -> bool:
        """Returns whether an upstream has announced that it is leaving."""
        notice = self._notices.get(_run(entry))
        return notice is not None and notice.leaving

    def paused_until_ms(self, entry: UpstreamEntry) -> int:
        """Returns the monotonic end of an upstream's pause; 0 if none."""
        notice = self._notices.get(_run(entry))
        return notice.paused_until_ms if notice is not None else 0

    def _notice(self, entry: UpstreamEntry) -> _Notice:
        run = _run(entry)
        notice = self._notices.get(run)
        if notice is None:
            while len(self._notices) >= _MAX_UPSTREAMS:
                del self._notices[next(iter(self._notices))]
            notice = self._notices[run] = _Notice()
        return notice


def _run(entry: UpstreamEntry) -> _Run:
    return entry.upstream_id, entry.started_wall_ms
