"""Bills, one for each request that ran."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class BillLine:
    """What one attempt at a request used."""

    # ``model@version``, or the name of a plain service.
    item: str
    # The upstream that did the work.
    upstream: str
    # Tokens read.
    prompt_tokens: int
    # Tokens generated.
    output_tokens: int
    # Cost in billionths of the accounting currency.
    cost_nano: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Bill:
    """Everything that one request cost, over all of its attempts."""

    # Identifies the request; bills with the same identifier are one.
    request_id: str
    # The workspace that pays.
    workspace: str
    # The task, or ``service/operation``.
    subject: str
    # Wall time at which the request ended, in milliseconds.
    ended_ms: int
    # The attempts, in order.
    lines: tuple[BillLine, ...]
    # Whether the caller got the whole answer.
    is_whole: bool = True

    @property
    def cost_nano(self) -> int:
        """Cost in billionths of the accounting currency."""
        return sum(line.cost_nano for line in self.lines)
