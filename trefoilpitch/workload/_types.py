"""Size, kind, and expected and measured cost of a request."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestSize:
    """What is known of a request's size before it runs."""

    prompt_tokens: int = 0
    # Prompt tokens that the upstream probably need not read again.
    cached_tokens: int = 0
    # Expected length of the response; 0 if unknown.
    output_tokens: int = 0
    body_bytes: int = 0

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that the upstream has to read."""
        return max(0, self.prompt_tokens - self.cached_tokens)

    @property
    def memory_tokens(self) -> int:
        """Tokens that the upstream keeps in memory for the request."""
        return max(0, self.prompt_tokens) + max(0, self.output_tokens)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkKind:
    """Requests whose cost depends on their size in the same way."""

    service: str
    route: str
    # None on services without models.
    model: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkEstimate:
    """Expected cost at the usual speed and without other requests."""

    # Time to the first event of the response, and its standard deviation.
    first_ms: float
    first_spread_ms: float
    # Time to the end of the response, and its standard deviation.
    total_ms: float
    total_spread_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MeasuredWork:
    """How long a finished request took, and under which conditions."""

    first_ms: float
    total_ms: float
    # How long work took there, relative to the usual time.
    duration: float = 1.0
    # Mean number of requests at the upstream, relative to its slots.
    utilization: float = 0.0
