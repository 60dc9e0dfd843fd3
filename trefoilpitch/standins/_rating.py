"""The rating stand-in: scores completions, with delays and losses.

API: ``POST /v1/ratings`` returns a ticket, ``GET /v1/ratings/<ticket>`` its
score. Control API for tests: ``POST /standin/settings`` and
``GET /standin/counts``.
"""

from __future__ import annotations

import collections
import itertools
import threading
from types import TracebackType
from typing import ClassVar, Self

import msgspec

from trefoilpitch.clock import Clock, SystemClock
from trefoilpitch.standins._completions import hash_fraction, score
from trefoilpitch.standins._http_server import Handler, StandInServer
from trefoilpitch.standins._settings_update import update_settings

_RATINGS_PATH = "/v1/ratings"
_MAX_TICKETS = 100_000


class RatingSettings(msgspec.Struct, kw_only=True):
    """Behaviour of the rating service."""

    # Time from the request to the score, in milliseconds.
    delay_ms: int = 0
    # Share of tickets that never get a score, from 0 to 1.
    lost_share: float = 0.0
    # Whether every request gets status 503.
    down: bool = False


class _RatingBody(msgspec.Struct, frozen=True):
    task: str
    version: str
    prompt: str
    answer: str


class _Rating(msgspec.Struct, frozen=True):
    score: float
    due_ms: int
    lost: bool


class RatingState:
    """Tickets and their scores; thread-safe.

    The oldest tickets are discarded above `_MAX_TICKETS`.

    Args:
        settings: The service's behaviour; may be changed while it runs.
        clock: Times the delay of scores.
    """

    def __init__(self, settings: RatingSettings, clock: Clock) -> None:
        self.settings = settings
        self._clock = clock
        self._numbers = itertools.count()
        self._ratings: collections.OrderedDict[str, _Rating] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    @property
    def ticket_count(self) -> int:
        """How many tickets are kept."""
        return len(self._ratings)

    def add(self, body: _RatingBody) -> str:
        """Rates a completion and returns the ticket for its score."""
        ticket = f"t{next(self._numbers)}"
        rating = _Rating(
            score=score(body.prompt, body.version, body.answer),
            due_ms=self._clock.now_ms() + self.settings.delay_ms,
            lost=hash_fraction("lost", ticket) < self.settings.lost_share,
        )
        with self._lock:
            self._ratings[ticket] = rating
            while len(self._ratings) > _MAX_TICKETS:
                self._ratings.popitem(last=False)
        return ticket

    def find(self, ticket: str) -> _Rating | None:
        """Returns the rating of a ticket; None if the ticket is unknown."""
        with self._lock:
            return self._ratings.get(ticket)

    def is_due(self, rating: _Rating) -> bool:
        """Whether the score may be returned now."""
        return not rating.lost and rating.due_ms <= self._clock.now_ms()


class _RatingHandler(Handler):
    state: ClassVar[RatingState]

    def do_POST(self) -> None:  # noqa: N802
        """Accepts completions to rate and changes of the settings."""
        try:
            if self.path == "/standin/settings":
                update_settings(self.state.settings, self.read_json(dict))
                self.respond_json({})
            else:
                self._accept_rating()
        except msgspec.MsgspecError as error:
            self.respond_json({"error": str(error)}, status=400)

    def do_GET(self) -> None:  # noqa: N802
        """Serves scores and counts."""
        if self.path == "/standin/counts":
            self.respond_json({"tickets": self.state.ticket_count})
            return
        if self._reject_if_down():
            return
        ticket = self.path.removeprefix(f"{_RATINGS_PATH}/")
        rating = self.state.find(ticket)
        if rating is None:
            self.respond_json({"error": "no such ticket"}, status=404)
        elif self.state.is_due(rating):
            self.respond_json({"ticket": ticket, "score": rating.score})
        else:
            self.respond_json({"ticket": ticket}, status=202)

    def _accept_rating(self) -> None:
        body = self.read_json(_RatingBody)
        if self._reject_if_down():
            return
        self.respond_json({"ticket": self.state.add(body)}, status=202)

    def _reject_if_down(self) -> bool:
        # Read once: after the response, the test may have changed it already.
        down = self.state.settings.down
        if down:
            self.respond_json({"error": "down"}, status=503)
        return down


class RatingStandIn:
    """A running rating stand-in.

    Args:
        settings: Its behaviour; may be changed while it runs.
        port: The port; 0 picks a free one.
        clock: Times the delay of scores.
    """

    def __init__(
        self, settings: RatingSettings, port: int, clock: Clock
    ) -> None:
        self._state = RatingState(settings, clock)
        self._server = StandInServer(self._handler, port)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._server.close()

    @property
    def address(self) -> str:
        """Where it listens, as ``host:port``."""
        return self._server.address

    @property
    def settings(self) -> RatingSettings:
        """Its behaviour; changes take effect at once."""
        return self._state.settings

    def wait(self) -> None:
        """Blocks until the server is closed."""
        self._server.wait()

    def _handler(self) -> type[Handler]:
        class BoundHandler(_RatingHandler):
            state = self._state

        return BoundHandler


def open_rating_stand_in(
    settings: RatingSettings, *, port: int = 0, clock: Clock | None = None
) -> RatingStandIn:
    """Starts a rating stand-in on the loopback address.

    Args:
        settings: Its behaviour.
        port: The port; 0 picks a free one.
        clock: Times the delay of scores; the system clock if absent.

    Returns:
        The stand-in, a context manager that stops it.
    """
    return RatingStandIn(settings, port, clock or SystemClock())
