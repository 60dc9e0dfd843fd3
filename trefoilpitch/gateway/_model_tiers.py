"""Which model of a route's tiers answers a request.

A small model costs a fraction of a large one and often suffices; it says with
its answer how sure it is. While the caller has nothing of the answer yet, it
is dropped and asked of the largest model if what that gains is worth more than
what it costs: long answers are worth a second opinion sooner than short ones
to long prompts.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

# Worth of a good answer in the unit of the models' cost: a part that each
# answer has, and a part for each token that it may have. The operators' goals
# pay about a hundredth of a unit a generated token over all kinds of request.
_WORTH_PER_ANSWER = 0.8
_WORTH_PER_TOKEN = 0.01
# Cost of a token that is read, in relation to one that is generated.
_READ_SHARE = 0.25
_TOKENS_PER_UNIT = 1_000
# How much of its cost a model takes besides, from the requests beside it, for
# each doubling of their number.
_PRESSURE_WEIGHT = 0.5
# What is left of an answer's worth if it comes after the objective.
_LATE_SHARE = 0.3
# Confidence of the largest model in the answers that a smaller one was unsure
# of, before any was seen, and the weight of each that is.
_EXPECTED_CONFIDENCE = 0.85
_LEARNING_WEIGHT = 0.05
# Classes of the smaller model's confidence for which that is learnt apart: of
# requests that it failed clearly, the largest model fails more as well.
_CONFIDENCE_CLASSES = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerSize:
    """How large a request and its answer are."""

    # Tokens of the prompt.
    prompt_tokens: int
    # Tokens that the answer is expected to have.
    output_tokens: int

    @property
    def worth(self) -> float:
        """What a good answer in time is worth, in the models' unit of cost."""
        return _WORTH_PER_ANSWER + _WORTH_PER_TOKEN * self.output_tokens

    def cost(self, cost_per_unit: float) -> float:
        """What a model takes for it.

        Args:
            cost_per_unit: Its cost of 1,000 generated tokens.
        """
        tokens = self.output_tokens + _READ_SHARE * self.prompt_tokens
        return cost_per_unit * tokens / _TOKENS_PER_UNIT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BegunAnswer:
    """An answer that a model has begun."""

    # The model's place in the tiers, the smallest first.
    tier: int
    # Its own opinion of its answer, from 0 to 100; None if it gave none.
    confidence: int | None
    # Whether the largest model's answer would still be in time.
    time_left: bool
    # Requests at an upstream of the service, on average, in relation to the
    # number at which they take twice as long.
    pressure: float = 0.0


class ModelChoice:
    """Chooses among the tiers and learns what the largest one adds."""

    def __init__(self) -> None:
        self._largest_confidence = [_EXPECTED_CONFIDENCE] * _CONFIDENCE_CLASSES

    def first_tier(self) -> int:
        """Returns the tier that is asked first."""
        return 0

    def record_largest(self, first: int, confidence: int) -> None:
        """Learns from an answer of the largest model that replaced another.

        Args:
            first: Confidence of the answer that was replaced, 0 to 100.
            confidence: Confidence of the largest model's answer.
        """
        index = _confidence_class(first)
        step = confidence / 100 - self._largest_confidence[index]
        self._largest_confidence[index] += _LEARNING_WEIGHT * step

    def next_tier(
        self, response: BegunAnswer, size: AnswerSize, costs: Sequence[float]
    ) -> int | None:
        """Returns the tier to ask instead; None to keep the answer.

        Args:
            response: The response that has begun.
            size: The request's size.
            costs: Cost of 1,000 generated tokens for each tier.
        """
        largest = len(costs) - 1
        if response.tier >= largest or response.confidence is None:
            return None
        worth = size.worth
        expected = self._largest_confidence[
            _confidence_class(response.confidence)
        ]
        gained = expected * worth
        if not response.time_left:
            gained *= _LATE_SHARE
        kept = response.confidence / 100 * worth
        # The larger model also delays what runs beside it.
        crowding = 1.0 + _PRESSURE_WEIGHT * max(0.0, response.pressure - 1.0)
        if gained - kept <= crowding * size.cost(costs[largest]):
            return None
        return largest


def _confidence_class(confidence: int) -> int:
    share = min(100, max(0, confidence)) / 100
    return min(_CONFIDENCE_CLASSES - 1, int(share * _CONFIDENCE_CLASSES))
