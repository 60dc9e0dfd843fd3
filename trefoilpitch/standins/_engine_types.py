"""Settings, prompts and completions of the engine stand-in."""

from __future__ import annotations

import dataclasses
import enum

import msgspec


class EngineSettings(msgspec.Struct, kw_only=True):
    """Behaviour of the engine; may change while it runs."""

    # The upstream's name.
    name: str = "engine"
    # Versions loaded at start-up, each as ``model@version``.
    versions: list[str] = []
    # Requests that run concurrently when the engine is warm.
    capacity: int = 8
    # Length of the waiting queue when warm; further requests are refused.
    max_waiting: int = 64
    # Concurrent requests that a cold engine can serve; one more crashes it.
    cold_capacity: int = 2
    # Completions to finish after a start before the engine is warm.
    warm_after: int = 3
    # Time to the first token, in milliseconds; 0 if the prefix is cached.
    prefill_ms: int = 5
    # Time between tokens, in milliseconds.
    token_ms: float = 1.0
    # Tokens in one chunk.
    chunk_tokens: int = 1
    # Whether completions pause after their first chunk until this is unset.
    holds_answers: bool = False
    # Filler words put before each completion; the rating stand-in does not
    # expect them.
    extra_words: int = 0
    # By version, the share of prompts that it completes well, from 0 to 1.
    quality: dict[str, float] = {}
    # Age of the load reports and cache events, in milliseconds.
    load_lag_ms: int = 0
    # How long a completion without readers is kept for resumption, in
    # milliseconds.
    hold_ms: int = 2_000
    # Whether orders with a fencing number below the highest seen are refused.
    checks_fencing: bool = False
    # Time that loading a version takes, in milliseconds.
    load_ms: int = 0
    # Size of the cache, in prompt prefixes.
    cache_prefixes: int = 32
    # Drops every n-th cache event; 0 drops none.
    cache_event_loss: int = 0
    # Whether load reports announce that the engine is about to leave.
    leaving: bool = False
    # The role set by the last role order.
    role: str = "mixed"


class CompletionState(enum.Enum):
    """Life cycle of a completion.

    CANCELLED: its readers left, or it was discarded. DROPPED: lost in a
    restart of the engine.
    """

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    DROPPED = "dropped"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Completion:
    """One completion; its chunks become available over time."""

    # ID of the request that it belongs to.
    request_id: str
    # The version that generates it, as ``model@version``.
    version: str
    # Text of each chunk.
    texts: list[str]
    # Number of tokens in each chunk.
    tokens: list[int]
    # Number of tokens in the prompt.
    prompt_tokens: int
    # ``stop``, or ``length`` if it was truncated at the token limit.
    finish_reason: str
    # Self-reported confidence, from 0 to 1.
    confidence: float
    # Scheduling rank; waiting completions with lower ranks start first.
    rank: int = 0
    # Where it is in its life cycle.
    state: CompletionState = CompletionState.WAITING
    # When generation started, in milliseconds on the engine's clock.
    started_ms: float = 0.0
    # Time to the first token, in milliseconds.
    prefill_ms: float = 0.0
    # Time between chunks, in milliseconds.
    chunk_ms: float = 0.0
    # Connections that are reading it.
    readers: int = 0
    # When the last reader left or it finished, in milliseconds on the
    # engine's clock.
    idle_since_ms: float = 0.0

    @property
    def active(self) -> bool:
        """Whether it is waiting or running."""
        return self.state in (CompletionState.WAITING, CompletionState.RUNNING)

    def due_ms(self, index: int) -> float:
        """Returns when a chunk of a running completion is generated."""
        return self.started_ms + self.prefill_ms + index * self.chunk_ms

    def available(self, now_ms: float) -> int:
        """Returns how many chunks have been generated."""
        if self.state is CompletionState.FINISHED:
            return len(self.texts)
        elapsed_ms = now_ms - self.started_ms - self.prefill_ms
        if self.state is not CompletionState.RUNNING or elapsed_ms < 0:
            return 0
        if self.chunk_ms <= 0:
            return len(self.texts)
        return min(len(self.texts), 1 + int(elapsed_ms / self.chunk_ms))


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Record of one request that started to run."""

    # ID of the request.
    request_id: str
    # The version that ran it, as ``model@version``.
    version: str
    # The engine's incarnation at the time.
    incarnation: str
    # When it started, in milliseconds since the Unix epoch.
    started_ms: int


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """One request for a completion."""

    # ID of the request.
    request_id: str
    # The version to run it, as ``model@version``.
    version: str
    # The contents of all messages.
    text: str
    # Hash of the prompt's prefix.
    prefix: str
    # Maximum length of the completion, in tokens.
    max_tokens: int
    # Scheduling rank; waiting requests with lower ranks start first.
    rank: int = 0
    # The only incarnation that may run it; empty for any.
    incarnation: str = ""
