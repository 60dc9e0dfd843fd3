"""The bill of a request and its lines."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class BillLine:
    """What one attempt at a request used."""

    # ``model@version``, or the name of a plain service.
    item: str
    # The upstream that did the work.
    upstream: str
    # Tokens of the prompt.
    prompt_tokens: int
    # Tokens generated.
    output_tokens: int
    # In billionths of the accounting currency.
    cost_nano: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Bill:
    """The cost of one request over all of its attempts."""

    # Bills with the same request identifier are duplicates.
    request_id: str
    # The workspace that pays.
    workspace: str
    # The task, or ``service/operation``.
    subject: str
    # Wall time at which the request ended, in milliseconds.
    ended_ms: int
    # The attempts, in order.
    lines: tuple[BillLine, ...]
    # Whether the caller received the complete response.
    is_whole: bool = True

    @property
    def cost_nano(self) -> int:
        """Cost in billionths of the accounting currency."""
        return sum(line.cost_nano for line in self.lines)
