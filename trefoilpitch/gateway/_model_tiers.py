"""Selection among the models of a route's tiers, and escalation.

A small model costs a fraction of a large one and often suffices; its response
includes its confidence. As long as nothing has been sent to the caller, the
response can be dropped and the request escalated to the largest model. This
happens if the expected gain in value exceeds the cost, which is sooner the
case for long responses than for short responses to long prompts.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

# Value of a good response, in the unit of the models' costs: a fixed part and a
# part per expected token. The operators' goals correspond to about a hundredth
# of a unit per generated token, averaged over all kinds of request.
_VALUE_PER_RESPONSE = 0.8
_VALUE_PER_TOKEN = 0.01
# Cost of a prompt token relative to a generated token.
_PROMPT_TOKEN_COST_RATIO = 0.25
_TOKENS_PER_UNIT = 1_000
# Additional cost per unit of saturation above 1, as a fraction of the model's
# cost: an escalated request also delays the others at the upstream.
_SATURATION_WEIGHT = 0.5
# Fraction of the value that a response after the latency objective still has.
_LATE_VALUE_FACTOR = 0.3
# Initial estimate of the largest model's confidence in escalated requests, and
# the weight of each observation in its moving average.
_EXPECTED_CONFIDENCE = 0.85
_LEARNING_WEIGHT = 0.05
# The average is kept per class of the smaller model's confidence: the largest
# model also fails more often on requests that the smaller one clearly failed.
_CONFIDENCE_CLASSES = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseSize:
    """Token counts of a request and its response."""

    prompt_tokens: int
    # Expected number of tokens in the response.
    output_tokens: int

    @property
    def value(self) -> float:
        """Value of a good and timely response, in the models' cost unit."""
        return _VALUE_PER_RESPONSE + _VALUE_PER_TOKEN * self.output_tokens

    def cost(self, cost_per_unit: float) -> float:
        """Returns the cost of a request of this size.

        Args:
            cost_per_unit: The model's cost per 1,000 generated tokens.
        """
        tokens = (
            self.output_tokens + _PROMPT_TOKEN_COST_RATIO * self.prompt_tokens
        )
        return cost_per_unit * tokens / _TOKENS_PER_UNIT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartialResponse:
    """A response that a model has begun to send."""

    # Index of the model in the route's tiers, smallest model first.
    tier: int
    # The model's confidence in it, from 0 to 100; None if not given.
    confidence: int | None
    # Whether a response of the largest model could still meet the route's
    # latency objective.
    can_meet_objective: bool
    # Mean saturation of the service's upstreams; 1.0 where the load doubles the
    # latency.
    mean_saturation: float = 0.0


class ModelSelector:
    """Selects tiers and learns the benefit of escalation."""

    def __init__(self) -> None:
        self._largest_confidence = [_EXPECTED_CONFIDENCE] * _CONFIDENCE_CLASSES

    def first_tier(self) -> int:
        """Returns the tier of the first attempt."""
        return 0

    def record_escalation(self, first: int, confidence: int) -> None:
        """Learns from an escalated request.

        Args:
            first: Confidence of the replaced response, 0 to 100.
            confidence: Confidence of the largest model's response, 0 to 100.
        """
        index = _confidence_class(first)
        step = confidence / 100 - self._largest_confidence[index]
        self._largest_confidence[index] += _LEARNING_WEIGHT * step

    def next_tier(
        self,
        response: PartialResponse,
        size: ResponseSize,
        costs: Sequence[float],
    ) -> int | None:
        """Returns the tier to escalate to, or None to keep the response.

        Args:
            response: The response that has begun.
            size: The request's size.
            costs: Cost per 1,000 generated tokens of each tier.
        """
        largest = len(costs) - 1
        if response.tier >= largest or response.confidence is None:
            return None
        value = size.value
        expected = self._largest_confidence[
            _confidence_class(response.confidence)
        ]
        escalated_value = expected * value
        if not response.can_meet_objective:
            escalated_value *= _LATE_VALUE_FACTOR
        current_value = response.confidence / 100 * value
        # The larger model also delays other requests at the upstream.
        cost_factor = 1.0 + _SATURATION_WEIGHT * max(
            0.0, response.mean_saturation - 1.0
        )
        if escalated_value - current_value <= cost_factor * size.cost(
            costs[largest]
        ):
            return None
        return largest


def _confidence_class(confidence: int) -> int:
    share = min(100, max(0, confidence)) / 100
    return min(_CONFIDENCE_CLASSES - 1, int(share * _CONFIDENCE_CLASSES))
