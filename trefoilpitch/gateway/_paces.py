"""Compares the paces of a roll-out's target with those of other versions.

Load pattern: the target of a roll-out gets few requests, so that its upstreams
run few at a time and are as quick as those of the old version under load, even
if they take several times as long for the same work. Paces are therefore only
compared within a kind of request and a class of load, by their ranks.

The comparison is the stratified rank-sum test of Van Elteren (1960), "On the
combination of independent two-sample tests of Wilcoxon".
"""

from __future__ import annotations

import dataclasses
import math
import zlib
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import TypeAlias

# Of paces and loads.
_CLASSES_PER_OCTAVE = 2
# The load class is the lower part of a stratum.
_LOAD_BITS = 4
_MAX_LOAD_CLASS = (1 << _LOAD_BITS) - 1
_KIND_BITS = 24
# Strata of a version that a daemon keeps, and that it publishes.
_MAX_STRATA = 64
_MAX_PUBLISHED_STRATA = 8
# Number of paces in a stratum at which all of its counts are halved, so that
# recent paces prevail.
_MAX_PACES = 64
# Paces of other versions with which those of the target are compared.
_MIN_REFERENCE = 8
# Minimum paces of the target for a verdict.
_MIN_TARGET = 6
# Fraction of the pairs of two versions in which the target has to be slower.
# An upstream that is slow by itself makes a version of three reach two thirds.
_MIN_SLOWER_SHARE = 0.75
# Standard errors by which the rank sum has to exceed that of equal versions.
_MIN_ERRORS = 3.0

# Number of paces by pace class, by stratum: a kind and a load class.
PaceCounts: TypeAlias = Mapping[int, Mapping[int, int]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MeasuredPace:
    """The time per event of one stream."""

    # Kind of request with similar paces.
    key: str
    # Mean over the first events after the first one.
    pace_ms: float
    # Mean number of requests at the upstream meanwhile.
    load: float

    @property
    def pace_class(self) -> int:
        """Class of the pace."""
        octaves = math.log2(max(1.0, self.pace_ms))
        return math.floor(_CLASSES_PER_OCTAVE * octaves)

    def stratum(self, *, on_target: bool) -> int:
        """Returns the class of the load, with a digest of the kind before it.

        Args:
            on_target: Whether to round the load up instead of down, so that no
                pace of a target is compared with one at a lower load.
        """
        digest = zlib.crc32(self.key.encode()) & ((1 << _KIND_BITS) - 1)
        octaves = math.log2(max(1.0, self.load))
        rounded = math.ceil if on_target else math.floor
        load_class = rounded(_CLASSES_PER_OCTAVE * octaves)
        return digest << _LOAD_BITS | min(_MAX_LOAD_CLASS, load_class)


def merge_counts(counts: Iterable[PaceCounts]) -> dict[int, Counter[int]]:
    """Returns the sum of several counts."""
    total: dict[int, Counter[int]] = {}
    for each in counts:
        for stratum, classes in each.items():
            total.setdefault(stratum, Counter()).update(classes)
    return total


def published_counts(counts: PaceCounts) -> dict[int, dict[int, int]]:
    """Returns the strata with the most paces, to bound a heartbeat."""
    most = sorted(counts, key=lambda key: -sum(counts[key].values()))
    return {key: dict(counts[key]) for key in most[:_MAX_PUBLISHED_STRATA]}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PaceComparison:
    """How the paces of a target compare with those of other versions."""

    # Paces of the target that could be compared.
    compared: int = 0
    # Fraction of the pairs in which the target is slower; ties count half.
    slower_share: float = 0.5
    # Standard errors by which its rank sum exceeds that of equal versions.
    errors: float = 0.0

    @property
    def is_slower(self) -> bool:
        """Whether the target is significantly and considerably slower."""
        return (
            self.compared >= _MIN_TARGET
            and self.slower_share >= _MIN_SLOWER_SHARE
            and self.errors >= _MIN_ERRORS
        )

    def __str__(self) -> str:
        return (
            f"{self.compared} paces, slower in {self.slower_share:.2f} of the"
            f" pairs, {self.errors:.1f} standard errors"
        )


def compare_paces(target: PaceCounts, others: PaceCounts) -> PaceComparison:
    """Compares the paces of a target with those of other versions."""
    compared = 0
    # Sums over the strata, weighted so that large ones do not prevail.
    slower = pairs = excess = variance = 0.0
    for stratum, classes in target.items():
        reference = _reference(stratum, others)
        if not reference or not any(classes.values()):
            continue
        ranked = _rank_sum(classes, reference)
        compared += ranked.targets
        slower += ranked.weight * ranked.slower
        pairs += ranked.weight * ranked.pairs
        excess += ranked.weight * (ranked.slower - ranked.pairs / 2)
        variance += ranked.weight**2 * ranked.variance
    if not pairs:
        return PaceComparison()
    return PaceComparison(
        compared=compared,
        slower_share=slower / pairs,
        errors=excess / math.sqrt(variance) if variance else 0.0,
    )


def _reference(stratum: int, others: PaceCounts) -> Counter[int]:
    """Returns paces at the same load, or at a higher one if there are few.

    A higher load only makes the other versions slower, and so never the target
    in comparison.
    """
    reference: Counter[int] = Counter()
    for key in range(stratum, (stratum | _MAX_LOAD_CLASS) + 1):
        reference.update(others.get(key, {}))
        if reference.total() >= _MIN_REFERENCE:
            break
    return reference


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _RankSum:
    """The rank sum statistic of one stratum."""

    targets: int
    # Pairs of a target's and another pace, and those in which the first is
    # slower; ties count half.
    pairs: int
    slower: float
    # Variance of the latter if both versions are equal.
    variance: float
    weight: float


def _rank_sum(target: Mapping[int, int], others: Mapping[int, int]) -> _RankSum:
    targets = sum(target.values())
    pairs = targets * sum(others.values())
    total = targets + sum(others.values())
    quicker = 0
    slower = ties = 0.0
    for pace_class in sorted({*target, *others}):
        own, other = target.get(pace_class, 0), others.get(pace_class, 0)
        slower += own * (quicker + other / 2)
        quicker += other
        tied = own + other
        ties += tied**3 - tied
    return _RankSum(
        targets=targets,
        pairs=pairs,
        slower=slower,
        variance=pairs / 12 * (total + 1 - ties / (total * (total - 1))),
        weight=1 / (total + 1),
    )


class PaceTable:
    """The paces that a daemon has measured, by service and version.

    They are also kept without a roll-out, as a reference for the next one.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], dict[int, Counter[int]]] = {}
        # Store revision of the order that its target's paces belong to.
        self._orders: dict[str, int] = {}

    def record(
        self,
        service: str,
        version: str,
        measured: MeasuredPace,
        *,
        on_target: bool,
    ) -> None:
        """Records the pace of a response.

        Args:
            service: The service.
            version: The version that responded.
            measured: The pace.
            on_target: Whether it is the target of a roll-out in progress.
        """
        strata = self._counts.setdefault((service, version), {})
        stratum = measured.stratum(on_target=on_target)
        if stratum not in strata and len(strata) >= _MAX_STRATA:
            return
        counts = strata.setdefault(stratum, Counter())
        counts[measured.pace_class] += 1
        if counts.total() > _MAX_PACES:
            halved = {key: count // 2 for key, count in counts.items()}
            strata[stratum] = +Counter(halved)

    def begin_order(self, service: str, target: str, revision: int) -> None:
        """Drops paces of a target that were measured under another order."""
        if self._orders.get(service) != revision:
            self._orders[service] = revision
            self._counts.pop((service, target), None)

    def split(
        self, service: str, target: str
    ) -> tuple[PaceCounts, dict[int, Counter[int]]]:
        """Returns the paces of a target and the sum over other versions."""
        others = merge_counts(
            counts
            for (name, version), counts in self._counts.items()
            if name == service and version != target
        )
        return self._counts.get((service, target), {}), others

    def retain(self, versions: Collection[tuple[str, str]]) -> None:
        """Evicts all but these pairs of a service and a version."""
        for key in list(self._counts):
            if key not in versions:
                del self._counts[key]
