"""How much concurrent requests slow each other down."""

from __future__ import annotations

# Weight of one request in the averages, once there are enough: a slope needs
# hundreds of them, as single times differ by half.
_MIN_WEIGHT = 1 / 300
# Requests until the slope is used, and the variance of the utilization that
# draws it half-way from the prior: that of an idle fleet tells little.
_MIN_REQUESTS = 30
_PRIOR_VARIANCE = 0.001
# Slowdown at full utilization until it is known, and its limits.
_PRIOR_SLOWDOWN = 2.0
_MIN_SLOWDOWN = 0.25
_MAX_SLOWDOWN = 16.0
_MAX_UTILIZATION = 1.5
_MAX_RATIO = 5.0


class ConcurrencyEffect:
    """Learns by how much longer requests take the more of them run.

    The time of a request is taken as linear in the utilization of its
    upstream, the fraction of its slots that are in use.
    """

    __slots__ = ("_count", "_covariance", "_ratio", "_utilization", "_variance")

    def __init__(self) -> None:
        self._count = 0
        self._utilization = 0.0
        self._ratio = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    @property
    def known(self) -> bool:
        """Whether enough requests have finished."""
        return self._count >= _MIN_REQUESTS

    @property
    def slowdown(self) -> float:
        """Time added at full utilization, relative to the one alone."""
        if not self.known:
            return _PRIOR_SLOWDOWN
        prior = _PRIOR_SLOWDOWN / (1.0 + _PRIOR_SLOWDOWN * self._utilization)
        prior *= self._ratio
        slope = (self._covariance + _PRIOR_VARIANCE * prior) / (
            self._variance + _PRIOR_VARIANCE
        )
        alone = self._ratio - slope * self._utilization
        if slope <= 0.0:
            return _MIN_SLOWDOWN
        if alone <= slope / _MAX_SLOWDOWN:
            return _MAX_SLOWDOWN
        return max(_MIN_SLOWDOWN, slope / alone)

    def record(self, utilization: float, ratio: float) -> None:
        """Records a finished request.

        Args:
            utilization: Requests at its upstream, relative to the slots.
            ratio: Its time, relative to the expected one alone.
        """
        if utilization > _MAX_UTILIZATION:
            # It has spent most of its time in a queue.
            return
        self._count += 1
        weight = max(_MIN_WEIGHT, 1.0 / self._count)
        ratio = min(_MAX_RATIO, ratio)
        change = utilization - self._utilization
        self._utilization += weight * change
        self._ratio += weight * (ratio - self._ratio)
        keep = 1.0 - weight
        self._variance = keep * (self._variance + weight * change * change)
        self._covariance = keep * self._covariance + weight * change * (
            ratio - self._ratio
        )
