"""The model tier of one request, and its escalation."""

from __future__ import annotations

from trefoilpitch.fleet import Route
from trefoilpitch.gateway._messages import CallerRequest
from trefoilpitch.gateway._model_tiers import PartialResponse, ResponseSize
from trefoilpitch.gateway._request_dependencies import RequestDependencies


class TierChoice:
    """Tracks which of a route's models a request runs on.

    Args:
        deps: Collaborators that all requests of the daemon share.
        request: The request.
        route: Its route; without model tiers the caller names the model.
    """

    def __init__(
        self, deps: RequestDependencies, request: CallerRequest, route: Route
    ) -> None:
        self._deps = deps
        self._request = request
        self._route = route
        self._tier: int | None = None
        self._previous_tier: int | None = None
        if route.model_tiers:
            self._tier = deps.models.first_tier()
        # Confidence of the response that was replaced.
        self._first_confidence: int | None = None

    @property
    def model(self) -> str | None:
        """The model that the route selects; None if the caller names it."""
        if self._tier is None:
            return None
        return self._route.model_tiers[self._tier]

    @property
    def latency_key(self) -> str:
        """Groups requests of similar latency: by model and size, or route."""
        model = self.model or self._request.model
        if model is None:
            return self._route.name
        return _latency_key(model, self._request)

    @property
    def pace_key(self) -> str:
        """Groups streams of similar time per event: by model, or route."""
        model = self.model or self._request.model
        return f"{model or self._route.name}/pace"

    def record_escalated(self, confidence: int | None) -> None:
        """Learns from the response of the largest model.

        Args:
            confidence: Its confidence; None if not given.
        """
        first = self._first_confidence
        if first is not None and confidence is not None:
            self._deps.models.record_escalation(first, confidence)

    def escalation(self, service: str, confidence: int | None) -> int | None:
        """Returns the tier to escalate a response to; None to keep it.

        Args:
            service: The service that responded.
            confidence: The response's confidence; None if not given.
        """
        if self._tier is None:
            return None
        largest = len(self._route.model_tiers) - 1
        return self._deps.models.next_tier(
            PartialResponse(
                tier=self._tier,
                confidence=confidence,
                can_meet_objective=self._can_finish_in_time(largest),
                mean_saturation=self._deps.dispatcher.mean_saturation(service),
            ),
            self._size,
            self._costs(service),
        )

    def escalate(self, tier: int, confidence: int | None) -> None:
        """Continues with another tier.

        Args:
            tier: The tier.
            confidence: Confidence of the response that it replaces.
        """
        self._previous_tier = self._tier
        self._tier = tier
        self._first_confidence = confidence

    def undo_escalation(self) -> None:
        """Returns to the tier before the last `escalate`."""
        self._tier = self._previous_tier
        self._first_confidence = None

    def _can_finish_in_time(self, tier: int) -> bool:
        request = self._request
        expected_ms = self._deps.expected_latencies.expected_ms(
            _latency_key(self._route.model_tiers[tier], request), default_ms=0.0
        )
        due_ms = request.http.arrived_ms + self._route.target_latency_ms
        return self._deps.clock.now_ms() + expected_ms <= due_ms

    def _costs(self, service: str) -> list[float]:
        configuration = self._deps.view.configuration
        known = configuration.services.get(service) if configuration else None
        costs = dict(known.model_costs) if known else {}
        return [costs.get(model, 0.0) for model in self._route.model_tiers]

    @property
    def _size(self) -> ResponseSize:
        request = self._request
        expected = request.expected_output_tokens or request.max_output_tokens
        return ResponseSize(
            prompt_tokens=request.prompt_tokens, output_tokens=expected
        )


def _latency_key(model: str, request: CallerRequest) -> str:
    # Size classes are powers of two of the prompt's tokens.
    return f"{model}/{request.prompt_tokens.bit_length()}"
