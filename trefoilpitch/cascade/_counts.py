"""Counts of answers and ratings, shared between nodes."""

from __future__ import annotations

import array
import bisect
import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from trefoilpitch.cascade._nodes import ResponseKey
from trefoilpitch.cascade._recent import RecentAnswers

# Lower edges of the bins; finer where most signals lie.
_EDGES = (
    0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.65,
    0.7, 0.75, 0.8, 0.85, 0.9, 0.94, 0.97, 0.99,
)  # fmt: skip
BIN_COUNT = len(_EDGES)
BIN_MIDDLES = tuple(
    (low + high) / 2.0
    for low, high in zip(_EDGES, (*_EDGES[1:], 1.0), strict=True)
)
_COLUMNS = 3
_ROW_LENGTH = BIN_COUNT * _COLUMNS
_ANSWERS, _RATINGS, _GOOD = range(_COLUMNS)


# Workspace, task, model, and the model whose answer was rejected before.
_Family: TypeAlias = tuple[str, str, str, str | None]


def signal_bin(signal: float | None) -> int:
    """Returns the bin of a confidence signal; a missing one counts as 0."""
    if signal is None:
        return 0
    return max(bisect.bisect_right(_EDGES, signal) - 1, 0)


def bin_edge(position: int) -> float:
    """Returns the least signal of a bin; above 1 past the last bin."""
    return _EDGES[position] if position < BIN_COUNT else 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class BinCounts:
    """Weighted counts of one kind of answer in one bin of the signal."""

    # Answers given.
    answers: float
    # Answers rated.
    ratings: float
    # Answers rated good.
    good: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyCounts:
    """Counts of one kind of answer in one epoch, as one node made them."""

    # The epoch that the answers were rated in.
    epoch: int
    # The kind of answer.
    key: ResponseKey
    # Answers, ratings and good ratings of each bin, one after the other.
    counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CountsSnapshot:
    """All counts of one incarnation of one node; each only ever grows."""

    # The incarnation that made the counts.
    incarnation: str
    # Its counts in the epochs that are kept.
    entries: tuple[KeyCounts, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Growth:
    """Ratings in one bin that a snapshot brought."""

    # The kind of answer.
    key: ResponseKey
    # Counts of the bin without them.
    earlier: BinCounts
    # Good and bad ratings that are new.
    good: int
    bad: int


class CountsTable:
    """Sums the counts of all nodes, the newer epochs weighing more.

    A node's counts only grow within its incarnation, so a snapshot that
    arrives twice, late or out of order changes nothing: the largest value
    seen of each count is the one that holds.

    Args:
        incarnation: Names this node's own counts.
        epoch: The present epoch.
        decay: Weight of an epoch relative to the one that follows it.
        kept_epochs: Epochs whose counts are still told apart by node.
    """

    def __init__(
        self,
        incarnation: str,
        *,
        epoch: int = 0,
        decay: float = 0.99,
        kept_epochs: int = 3,
    ) -> None:
        self._incarnation = incarnation
        self._decay = decay
        self._kept_epochs = kept_epochs
        self._epoch = epoch
        self._by_node: dict[
            str, dict[tuple[int, ResponseKey], array.array[int]]
        ] = {incarnation: {}}
        self._recent = RecentAnswers(BIN_COUNT)
        self._families: dict[_Family, list[ResponseKey]] = {}
        self._sums: dict[ResponseKey, array.array[float]] = {}

    @property
    def epoch(self) -> int:
        """The epoch that new counts belong to."""
        return self._epoch

    def keys(self) -> Iterator[ResponseKey]:
        """Yields the kinds of answers that have been counted."""
        yield from self._sums

    def add_answer(self, key: ResponseKey, position: int) -> None:
        """Counts an answer in a bin."""
        self._add_own(key, position, _ANSWERS)
        self._recent.add(key, position)

    def add_rating(self, key: ResponseKey, position: int, good: bool) -> None:
        """Counts a rating of an answer in a bin."""
        self._add_own(key, position, _RATINGS)
        if good:
            self._add_own(key, position, _GOOD)

    def bins(self, key: ResponseKey) -> tuple[BinCounts, ...]:
        """Returns the weighted sums over all nodes, bin by bin.

        Answers are this node's recent ones, where it gave any: their spread
        over the bins changes faster than their quality in each.
        """
        row = self._sums.get(key)
        if row is None:
            return (BinCounts(0.0, 0.0, 0.0),) * BIN_COUNT
        answers = self._recent.counts(key) or tuple(row[::_COLUMNS])
        return tuple(
            BinCounts(answers[position], *row[start + 1 : start + _COLUMNS])
            for position, start in enumerate(range(0, _ROW_LENGTH, _COLUMNS))
        )

    def relatives(self, key: ResponseKey) -> tuple[ResponseKey, ...]:
        """Returns the same kind of answer by other versions of its models."""
        family = self._families.get(_family(key), ())
        return tuple(one for one in family if one != key)

    def one_bin(self, key: ResponseKey, position: int) -> BinCounts:
        """Returns the weighted sums over all nodes in one bin."""
        row = self._sums.get(key)
        if row is None:
            return BinCounts(0.0, 0.0, 0.0)
        start = position * _COLUMNS
        return BinCounts(*row[start : start + _COLUMNS])

    def advance_epoch(self, epoch: int) -> None:
        """Moves on to a later epoch and lets the earlier ones fade."""
        if epoch <= self._epoch:
            return
        factor = self._decay ** (epoch - self._epoch)
        self._epoch = epoch
        for row in self._sums.values():
            for index, value in enumerate(row):
                row[index] = value * factor
        oldest = epoch - self._kept_epochs + 1
        for node, table in list(self._by_node.items()):
            for entry in [entry for entry in table if entry[0] < oldest]:
                del table[entry]
            if not table and node != self._incarnation:
                del self._by_node[node]

    def scale(self, key: ResponseKey, factor: float) -> None:
        """Lets what is known of one kind of answer fade at once."""
        row = self._sums.get(key, _zero_sums())
        for index, value in enumerate(row):
            row[index] = value * factor

    def snapshot(self) -> CountsSnapshot:
        """Returns this node's own counts for the other nodes."""
        own = self._by_node[self._incarnation]
        entries = tuple(
            KeyCounts(epoch=epoch, key=key, counts=tuple(row))
            for (epoch, key), row in own.items()
        )
        return CountsSnapshot(incarnation=self._incarnation, entries=entries)

    def merge(self, snapshot: CountsSnapshot) -> tuple[Growth, ...]:
        """Takes in another node's counts; idempotent.

        Entries of epochs that are past keeping, or more than one ahead of
        this node's clock, are left out.

        Returns:
            The ratings that were new.
        """
        if snapshot.incarnation == self._incarnation:
            return ()
        table = self._by_node.setdefault(snapshot.incarnation, {})
        growth: list[Growth] = []
        for entry in snapshot.entries:
            age = self._epoch - entry.epoch
            if not -1 <= age < self._kept_epochs:
                continue
            if len(entry.counts) != _ROW_LENGTH:
                continue
            known = table.setdefault((entry.epoch, entry.key), _empty_row())
            growth += self._take_growth(
                entry, known, self._decay ** max(age, 0)
            )
        return tuple(growth)

    def _take_growth(
        self, entry: KeyCounts, known: array.array[int], weight: float
    ) -> Iterator[Growth]:
        sums = self._row(entry.key)
        for position in range(BIN_COUNT):
            start = position * _COLUMNS
            stop = start + _COLUMNS
            if entry.counts[start:stop] == tuple(known[start:stop]):
                continue
            earlier = BinCounts(*sums[start:stop])
            grown = [0] * _COLUMNS
            for column in range(_COLUMNS):
                index = start + column
                grown[column] = max(entry.counts[index] - known[index], 0)
                known[index] += grown[column]
                sums[index] += weight * grown[column]
            if grown[_RATINGS]:
                bad = max(grown[_RATINGS] - grown[_GOOD], 0)
                yield Growth(
                    key=entry.key, earlier=earlier, good=grown[_GOOD], bad=bad
                )

    def _row(self, key: ResponseKey) -> array.array[float]:
        row = self._sums.get(key)
        if row is None:
            row = _zero_sums()
            self._sums[key] = row
            self._families.setdefault(_family(key), []).append(key)
        return row

    def _add_own(self, key: ResponseKey, position: int, column: int) -> None:
        own = self._by_node[self._incarnation]
        index = position * _COLUMNS + column
        own.setdefault((self._epoch, key), _empty_row())[index] += 1
        self._row(key)[index] += 1.0


def _family(key: ResponseKey) -> _Family:
    after = key.after.model if key.after is not None else None
    return key.workspace, key.task, key.version.model, after


def _empty_row() -> array.array[int]:
    return array.array("Q", bytes(8 * _ROW_LENGTH))


def _zero_sums() -> array.array[float]:
    return array.array("d", bytes(8 * _ROW_LENGTH))
