"""Counts of responses and ratings, shared between nodes."""

from __future__ import annotations

import array
import bisect
import dataclasses
from collections.abc import Iterator
from typing import TypeAlias

from trefoilpitch.cascade._nodes import ResponseKey
from trefoilpitch.cascade._recent import RecentResponses

# Lower edges of the bins of the confidence signal; narrower where most signals
# lie.
_EDGES = (
    0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.65,
    0.7, 0.75, 0.8, 0.85, 0.9, 0.94, 0.97, 0.99,
)  # fmt: skip
BIN_COUNT = len(_EDGES)
BIN_MIDPOINTS = tuple(
    (low + high) / 2.0
    for low, high in zip(_EDGES, (*_EDGES[1:], 1.0), strict=True)
)
_COLUMNS = 3
_ROW_LENGTH = BIN_COUNT * _COLUMNS
_RESPONSES, _RATINGS, _GOOD = range(_COLUMNS)


# Workspace, task, model, and the model whose response was rejected before.
# Keys of one group differ only in the versions of these models.
_SiblingGroup: TypeAlias = tuple[str, str, str, str | None]


def signal_bin(signal: float | None) -> int:
    """Returns the bin of a confidence signal; None counts as 0."""
    if signal is None:
        return 0
    return max(bisect.bisect_right(_EDGES, signal) - 1, 0)


def bin_edge(position: int) -> float:
    """Returns the lowest signal of a bin; above 1 past the last bin."""
    return _EDGES[position] if position < BIN_COUNT else 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class BinCounts:
    """Weighted counts of one response key in one bin of the signal."""

    # Responses, rated or not.
    responses: float
    # Rated responses.
    ratings: float
    # Responses rated good.
    good: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyCounts:
    """One node's counts of one response key in one epoch."""

    # The epoch in which the responses and ratings were counted.
    epoch: int
    key: ResponseKey
    # Responses, ratings and good ratings of the first bin, then those of the
    # next ones.
    counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CountsSnapshot:
    """All counts of one incarnation of one node; no count ever decreases."""

    # The incarnation that counted.
    incarnation: str
    # Its counts in the retained epochs.
    entries: tuple[KeyCounts, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NewRatings:
    """Ratings in one bin that a merged snapshot added."""

    key: ResponseKey
    # Counts of the bin before the merge.
    earlier: BinCounts
    # Good and bad ratings that were added.
    good: int
    bad: int


class CountsTable:
    """Sums the counts of all nodes with a higher weight for newer epochs.

    The counts of an incarnation never decrease, so the largest value received
    of each count is the current one, and a snapshot that arrives twice, late
    or out of order is not counted again.

    Args:
        incarnation: Identifies this node's own counts.
        epoch: The current epoch.
        decay: Weight of an epoch relative to the next one.
        kept_epochs: Epochs for which the counts of each node are retained.
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
        self._recent = RecentResponses(BIN_COUNT)
        self._sibling_groups: dict[_SiblingGroup, list[ResponseKey]] = {}
        self._sums: dict[ResponseKey, array.array[float]] = {}

    @property
    def epoch(self) -> int:
        """The epoch that new counts belong to."""
        return self._epoch

    def keys(self) -> Iterator[ResponseKey]:
        """Yields the response keys that have been counted."""
        yield from self._sums

    def add_response(self, key: ResponseKey, position: int) -> None:
        """Counts a response in a bin."""
        self._add_own(key, position, _RESPONSES)
        self._recent.add(key, position)

    def add_rating(self, key: ResponseKey, position: int, good: bool) -> None:
        """Counts a rating of a response in a bin."""
        self._add_own(key, position, _RATINGS)
        if good:
            self._add_own(key, position, _GOOD)

    def bins(self, key: ResponseKey) -> tuple[BinCounts, ...]:
        """Returns the weighted sums over all nodes, bin by bin.

        Responses are this node's recent ones if there are any, because their
        distribution over the bins changes faster than the quality in each
        bin.
        """
        row = self._sums.get(key)
        if row is None:
            return (BinCounts(0.0, 0.0, 0.0),) * BIN_COUNT
        responses = self._recent.counts(key) or tuple(row[::_COLUMNS])
        return tuple(
            BinCounts(responses[position], *row[start + 1 : start + _COLUMNS])
            for position, start in enumerate(range(0, _ROW_LENGTH, _COLUMNS))
        )

    def sibling_keys(self, key: ResponseKey) -> tuple[ResponseKey, ...]:
        """Returns the counted keys that differ only in the models' versions."""
        group = self._sibling_groups.get(_sibling_group(key), ())
        return tuple(one for one in group if one != key)

    def bin_counts(self, key: ResponseKey, position: int) -> BinCounts:
        """Returns the weighted sums over all nodes in one bin."""
        row = self._sums.get(key)
        if row is None:
            return BinCounts(0.0, 0.0, 0.0)
        start = position * _COLUMNS
        return BinCounts(*row[start : start + _COLUMNS])

    def advance_epoch(self, epoch: int) -> None:
        """Starts a later epoch and decays the sums of the earlier ones."""
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
        """Multiplies the sums of one response key by a factor."""
        row = self._sums.get(key, _zero_sums())
        for index, value in enumerate(row):
            row[index] = value * factor

    def snapshot(self) -> CountsSnapshot:
        """Returns this node's own counts, to be sent to the other nodes."""
        own = self._by_node[self._incarnation]
        entries = tuple(
            KeyCounts(epoch=epoch, key=key, counts=tuple(row))
            for (epoch, key), row in own.items()
        )
        return CountsSnapshot(incarnation=self._incarnation, entries=entries)

    def merge(self, snapshot: CountsSnapshot) -> tuple[NewRatings, ...]:
        """Merges another node's counts; idempotent.

        Entries of epochs that are no longer retained, or that are more than
        one ahead of this node's clock, are ignored.

        Returns:
            The ratings that were added.
        """
        if snapshot.incarnation == self._incarnation:
            return ()
        table = self._by_node.setdefault(snapshot.incarnation, {})
        new_ratings: list[NewRatings] = []
        for entry in snapshot.entries:
            age = self._epoch - entry.epoch
            if not -1 <= age < self._kept_epochs:
                continue
            if len(entry.counts) != _ROW_LENGTH:
                continue
            seen = table.setdefault((entry.epoch, entry.key), _zero_counts())
            new_ratings += self._apply_entry(
                entry, seen, self._decay ** max(age, 0)
            )
        return tuple(new_ratings)

    def _apply_entry(
        self, entry: KeyCounts, seen: array.array[int], weight: float
    ) -> Iterator[NewRatings]:
        sums = self._row(entry.key)
        for position in range(BIN_COUNT):
            start = position * _COLUMNS
            stop = start + _COLUMNS
            if entry.counts[start:stop] == tuple(seen[start:stop]):
                continue
            earlier = BinCounts(*sums[start:stop])
            added = [0] * _COLUMNS
            for column in range(_COLUMNS):
                index = start + column
                added[column] = max(entry.counts[index] - seen[index], 0)
                seen[index] += added[column]
                sums[index] += weight * added[column]
            if added[_RATINGS]:
                bad = max(added[_RATINGS] - added[_GOOD], 0)
                yield NewRatings(
                    key=entry.key, earlier=earlier, good=added[_GOOD], bad=bad
                )

    def _row(self, key: ResponseKey) -> array.array[float]:
        row = self._sums.get(key)
        if row is None:
            row = _zero_sums()
            self._sums[key] = row
            self._sibling_groups.setdefault(_sibling_group(key), []).append(key)
        return row

    def _add_own(self, key: ResponseKey, position: int, column: int) -> None:
        own = self._by_node[self._incarnation]
        index = position * _COLUMNS + column
        own.setdefault((self._epoch, key), _zero_counts())[index] += 1
        self._row(key)[index] += 1.0


def _sibling_group(key: ResponseKey) -> _SiblingGroup:
    rejected_model = (
        key.rejected_version.model if key.rejected_version is not None else None
    )
    return key.workspace, key.task, key.version.model, rejected_model


def _zero_counts() -> array.array[int]:
    return array.array("Q", bytes(8 * _ROW_LENGTH))


def _zero_sums() -> array.array[float]:
    return array.array("d", bytes(8 * _ROW_LENGTH))
