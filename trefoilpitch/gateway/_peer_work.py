"""The work that the other daemons have at upstreams, from their heartbeats."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerWork:
    """Work of all other daemons at one upstream.

    Changed in place: each heartbeat of each daemon changes several of them.
    """

    # Work left, in tenths of a second at the usual speed.
    tenths: int = 0
    # Requests that this work is of; those of daemons that do not estimate it
    # are not among them.
    counted: int = 0
    # Thousands of tokens that requests keep in the upstream's memory.
    kilotokens: int = 0


class PeerWorkTable:
    """Sums the work in the last heartbeats of all other daemons."""

    def __init__(self) -> None:
        self._work: dict[int, PeerWork] = {}

    def add(
        self,
        in_flight: Mapping[int, int],
        work: Sequence[int],
        kilotokens: Sequence[int] = (),
    ) -> None:
        """Adds a heartbeat's requests in flight and their work.

        Args:
            in_flight: Number of requests by upstream digest.
            work: Work in the same order; ignored if it does not fit.
            kilotokens: Thousands of tokens in the same order; likewise.
        """
        self._update(in_flight, work, kilotokens, 1)

    def subtract(
        self,
        in_flight: Mapping[int, int],
        work: Sequence[int],
        kilotokens: Sequence[int] = (),
    ) -> None:
        """Subtracts what `add` has added."""
        self._update(in_flight, work, kilotokens, -1)

    def by_digest(self) -> Mapping[int, PeerWork]:
        """Returns the work by upstream digest."""
        return self._work

    def _update(
        self,
        in_flight: Mapping[int, int],
        work: Sequence[int],
        kilotokens: Sequence[int],
        sign: int,
    ) -> None:
        if not (work or kilotokens):
            return
        none = (0,) * len(in_flight)
        work = work if len(work) == len(in_flight) else none
        if len(kilotokens) != len(in_flight):
            kilotokens = none
        for (digest, count), tenths, tokens in zip(
            in_flight.items(), work, kilotokens, strict=True
        ):
            # Of requests of less than a tenth each the unit says nothing.
            resolved = tenths >= max(1, count)
            if not resolved and not tokens:
                continue
            total = self._work.get(digest)
            if total is None:
                total = self._work[digest] = PeerWork()
            if resolved:
                total.tenths += sign * tenths
                total.counted += sign * count
            total.kilotokens += sign * tokens
            if total.counted <= 0 and total.kilotokens <= 0:
                del self._work[digest]
