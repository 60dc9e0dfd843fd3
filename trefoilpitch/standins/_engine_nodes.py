"""Settings and answers of the engine stand-in."""

from __future__ import annotations

import dataclasses
import enum

import msgspec


class EngineSettings(msgspec.Struct, kw_only=True):
    """How the engine behaves; may change while it runs."""

    # The upstream's name.
    name: str = "engine"
    # Versions loaded at the start, each ``model@version``.
    versions: list[str] = []
    # Requests served at once when warm.
    capacity: int = 8
    # Requests that may wait when warm before others are refused.
    max_waiting: int = 64
    # Requests borne at once while cold; one more makes the engine fall over.
    cold_capacity: int = 2
    # Answers to finish before the engine is warm.
    warm_after: int = 3
    # Time to the first token, in milliseconds; none for a cached prefix.
    prefill_ms: int = 5
    # Time between tokens, in milliseconds.
    token_ms: float = 1.0
    # Tokens in one chunk.
    chunk_tokens: int = 1
    # Whether answers under way stop after their first chunk, until unset.
    holds_answers: bool = False
    # Words added to each answer, which the rating stand-in does not know.
    extra_words: int = 0
    # Share of prompts that a version answers well.
    quality: dict[str, float] = {}
    # Age of the load reports and cache events, in milliseconds.
    load_lag_ms: int = 0
    # How long an answer is held for resumption, in milliseconds.
    hold_ms: int = 2_000
    # Whether orders with an old fencing number are refused.
    checks_fencing: bool = False
    # Time to load a version, in milliseconds.
    load_ms: int = 0
    # Prompt prefixes kept in the cache.
    cache_prefixes: int = 32
    # Every how many cache events one is lost; 0 loses none.
    cache_event_loss: int = 0
    # Whether the engine says that it is about to leave.
    leaving: bool = False
    # The role that it was last ordered into.
    role: str = "mixed"


class AnswerState(enum.Enum):
    """Where an answer stands."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    DROPPED = "dropped"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Answer:
    """One answer; its chunks become available as time passes."""

    # The request that it answers.
    request_id: str
    # The version that answers.
    version: str
    # The texts of its chunks.
    texts: list[str]
    # Tokens in each chunk.
    tokens: list[int]
    # Tokens in the prompt.
    prompt_tokens: int
    # Why generation ends.
    finish_reason: str
    # The engine's confidence.
    confidence: float
    # Place in the order of service; lower ranks start first.
    rank: int = 0
    # Where it stands.
    state: AnswerState = AnswerState.WAITING
    # When generation began, in milliseconds.
    started_ms: float = 0.0
    # Time to the first token, in milliseconds.
    prefill_ms: float = 0.0
    # Time between chunks, in milliseconds.
    chunk_ms: float = 0.0
    # Connections that read it.
    readers: int = 0
    # When the last reader left or it finished, in milliseconds.
    idle_since_ms: float = 0.0

    @property
    def active(self) -> bool:
        """Whether it waits or runs."""
        return self.state in (AnswerState.WAITING, AnswerState.RUNNING)

    def due_ms(self, index: int) -> float:
        """Returns when a chunk becomes available, once it runs."""
        return self.started_ms + self.prefill_ms + index * self.chunk_ms

    def available(self, now_ms: float) -> int:
        """Returns how many chunks have been generated."""
        if self.state is AnswerState.FINISHED:
            return len(self.texts)
        elapsed_ms = now_ms - self.started_ms - self.prefill_ms
        if self.state is not AnswerState.RUNNING or elapsed_ms < 0:
            return 0
        if self.chunk_ms <= 0:
            return len(self.texts)
        return min(len(self.texts), 1 + int(elapsed_ms / self.chunk_ms))


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One request that began to run."""

    # The request's id.
    request_id: str
    # The version that ran it.
    version: str
    # The engine's incarnation.
    incarnation: str
    # When it began, in milliseconds since the Unix epoch.
    started_ms: int


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """One request for an answer."""

    # The request's id.
    request_id: str
    # The version that must answer.
    version: str
    # The whole prompt.
    text: str
    # Hash of the prompt's prefix.
    prefix: str
    # Longest answer, in tokens.
    max_tokens: int
    # Place in the order of service; lower ranks start first.
    rank: int = 0
    # The only incarnation that is to run it; empty for any.
    incarnation: str = ""
