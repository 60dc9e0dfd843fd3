"""What the engine stand-in holds: answers, versions, load and counts."""

from __future__ import annotations

import collections
import threading
import uuid

from trefoilpitch.clock import Clock
from trefoilpitch.standins._completions import (
    completion_words,
    confidence,
    is_good,
)
from trefoilpitch.standins._engine_nodes import (
    Answer,
    AnswerState,
    EngineSettings,
    Prompt,
    Run,
)
from trefoilpitch.standins._engine_versions import LoadedVersions
from trefoilpitch.standins._prefix_cache import CacheEventEntry, PrefixCache
from trefoilpitch.standins._report_log import EngineReport, ReportLog

_DEFAULT_QUALITY = 0.7


class RefusalError(Exception):
    """The engine refuses a request without running it."""


class OtherIncarnationError(RefusalError):
    """The request is for an incarnation that is gone."""


class EngineState:
    """The engine without its HTTP server; safe to use from many threads.

    Time passes by itself: whoever looks first brings the state up to date.

    Args:
        settings: How the engine behaves; may be changed while it runs.
        clock: Paces generation.
    """

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self.settings = settings
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: list[Run] = []
        self.lock = threading.RLock()
        self._clock = clock
        self._incarnation = ""
        self._finished_since_start = 0
        self._versions = LoadedVersions(settings.versions, clock)
        self._completions: dict[str, Answer] = {}
        self._active: list[Answer] = []
        self._reports = ReportLog()
        self._cache = PrefixCache()
        self.restart()

    @property
    def incarnation(self) -> str:
        """Changes with every restart."""
        return self._incarnation

    @property
    def warm(self) -> bool:
        """Whether the engine bears its full capacity."""
        return self._finished_since_start >= self.settings.warm_after

    def now_ms(self) -> int:
        """Returns the time that paces generation."""
        return self._clock.now_ms()

    def restart(self) -> None:
        """Drops every answer and begins anew, cold."""
        with self.lock:
            for answer in self._active:
                answer.state = AnswerState.DROPPED
            self._active.clear()
            self._completions.clear()
            self._cache.clear()
            self._finished_since_start = 0
            self._incarnation = uuid.uuid4().hex[:12]
            self._record_report()

    def admit(self, prompt: Prompt) -> Answer | None:
        """Takes a request in.

        Returns:
            The answer, or None if the engine was cold, took on more than it
            bears and fell over.

        Raises:
            RefusalError: If the engine refuses the request.
        """
        with self.lock:
            self._update()
            self._check_incarnation(prompt.incarnation)
            self._check_version(prompt.version)
            load = len(self._active)
            if not self.warm and load >= self.settings.cold_capacity:
                self.counts["falls"] += 1
                self.restart()
                return None
            if load >= self.settings.capacity + self.settings.max_waiting:
                raise RefusalError("overloaded")
            answer = self._generate(prompt)
            self._completions[prompt.request_id] = answer
            self._active.append(answer)
            self._count_peak()
            self._update()
            return answer

    def attach(self, request_id: str) -> Answer | None:
        """Returns an answer that is held for resumption."""
        with self.lock:
            self._update()
            answer = self._completions.get(request_id)
            if answer is not None:
                answer.readers += 1
            return answer

    def detach(self, answer: Answer) -> None:
        """Notes that a reader has left."""
        with self.lock:
            answer.readers -= 1
            answer.idle_since_ms = self._clock.now_ms()
            self._update()

    def available(self, answer: Answer) -> int:
        """Returns how many chunks of an answer have been generated."""
        with self.lock:
            self._update()
            return self._generated(answer, self._clock.now_ms())

    def discard(self, answer: Answer) -> None:
        """Forgets an answer, so that it cannot be resumed."""
        with self.lock:
            if self._completions.get(answer.request_id) is answer:
                del self._completions[answer.request_id]
            if answer.active:
                self._active.remove(answer)
                answer.state = AnswerState.CANCELLED

    def load_report(self) -> EngineReport:
        """Returns the newest report that is as old as the lag."""
        with self.lock:
            self._update()
            self._record_report()
            due_ms = self._clock.wall_ms() - self.settings.load_lag_ms
            return self._reports.newest(due_ms)

    def cache_events(self, after: int) -> list[CacheEventEntry]:
        """Returns the cache events that are as old as the lag."""
        with self.lock:
            until_ms = self._clock.wall_ms() - self.settings.load_lag_ms
            return self._cache.events(after, until_ms)

    def accept_fencing(self, number: int) -> bool:
        """Whether an order with this fencing number is to be carried out."""
        with self.lock:
            checked = self.settings.checks_fencing
            accepted = self._versions.accept_fencing(number, checked=checked)
            self.counts["orders" if accepted else "orders_refused"] += 1
            return accepted

    def load(self, version: str) -> None:
        """Loads a version; it serves once the time to load has passed."""
        with self.lock:
            self.counts["loads"] += 1
            self._versions.load(version, self.settings.load_ms)

    def unload(self, version: str) -> None:
        """Unloads a version; answers under way go on."""
        with self.lock:
            self.counts["unloads"] += 1
            self._versions.unload(version)

    def versions(self) -> list[str]:
        """Returns the versions that serve now."""
        with self.lock:
            return self._versions.serving

    def _count_peak(self) -> None:
        name = "peak_warm" if self.warm else "peak_cold"
        self.counts[name] = max(self.counts[name], len(self._active))

    def _check_incarnation(self, incarnation: str) -> None:
        if incarnation not in ("", self._incarnation):
            raise OtherIncarnationError("other_incarnation")

    def _check_version(self, version: str) -> None:
        if version not in self._versions.serving:
            raise RefusalError("version_not_loaded")

    def _generate(self, prompt: Prompt) -> Answer:
        settings = self.settings
        quality = settings.quality.get(prompt.version, _DEFAULT_QUALITY)
        good = is_good(prompt.text, quality)
        words = completion_words(
            prompt.text,
            prompt.version,
            good=good,
            max_tokens=prompt.max_tokens,
            extra_words=settings.extra_words,
        )
        texts, tokens = _cut(words, settings.chunk_tokens)
        hit = self._cache.use(
            prompt.prefix,
            size=settings.cache_prefixes,
            lose_every=settings.cache_event_loss,
            now_ms=self._clock.wall_ms(),
        )
        self.counts["prefix_hits"] += hit
        return Answer(
            request_id=prompt.request_id,
            version=prompt.version,
            texts=texts,
            tokens=tokens,
            prompt_tokens=len(prompt.text.split()),
            finish_reason="stop" if words[-1] == "." else "length",
            confidence=confidence(prompt.text, prompt.version, good=good),
            prefill_ms=0 if hit else settings.prefill_ms,
            chunk_ms=settings.token_ms * settings.chunk_tokens,
            readers=1,
            rank=prompt.rank,
        )

    def _update(self) -> None:
        now_ms = self._clock.now_ms()
        for answer in list(self._active):
            self._update_answer(answer, now_ms)
        running = sum(
            answer.state is AnswerState.RUNNING for answer in self._active
        )
        waiting = [
            answer
            for answer in self._active
            if answer.state is AnswerState.WAITING
        ]
        waiting.sort(key=lambda answer: answer.rank)
        for answer in waiting[: max(self.settings.capacity - running, 0)]:
            self._start(answer, now_ms)
        self._forget_held(now_ms)

    def _start(self, answer: Answer, now_ms: int) -> None:
        answer.state = AnswerState.RUNNING
        answer.started_ms = now_ms
        self.runs.append(
            Run(
                request_id=answer.request_id,
                version=answer.version,
                incarnation=self._incarnation,
                started_ms=self._clock.wall_ms(),
            )
        )

    def _generated(self, answer: Answer, now_ms: int) -> int:
        chunks = answer.available(now_ms)
        if self.settings.holds_answers and answer.active:
            return min(chunks, 1)
        return chunks

    def _update_answer(self, answer: Answer, now_ms: int) -> None:
        if self._generated(answer, now_ms) >= len(answer.texts):
            answer.state = AnswerState.FINISHED
            answer.idle_since_ms = now_ms
            self._active.remove(answer)
            self._finished_since_start += 1
            self.counts["finished"] += 1
        elif self._abandoned(answer, now_ms):
            answer.state = AnswerState.CANCELLED
            self._active.remove(answer)
            self.counts["cancelled"] += 1

    def _forget_held(self, now_ms: int) -> None:
        for request_id, answer in list(self._completions.items()):
            if not answer.active and self._abandoned(answer, now_ms):
                del self._completions[request_id]

    def _abandoned(self, answer: Answer, now_ms: int) -> bool:
        idle_ms = now_ms - answer.idle_since_ms
        return answer.readers == 0 and idle_ms > self.settings.hold_ms

    def _record_report(self) -> None:
        states = [answer.state for answer in self._active]
        report = EngineReport(
            incarnation=self._incarnation,
            running=states.count(AnswerState.RUNNING),
            waiting=states.count(AnswerState.WAITING),
            capacity=self.settings.capacity,
            warm=self.warm,
            leaving=self.settings.leaving,
            role=self.settings.role,
            cached_prefixes=self._cache.prefixes,
            versions=self._versions.serving,
            reported_ms=self._clock.wall_ms(),
        )
        self._reports.add(report)


def _cut(words: list[str], size: int) -> tuple[list[str], list[int]]:
    groups = [words[at : at + size] for at in range(0, len(words), size)]
    texts = [" ".join(group) for group in groups]
    spaced = [texts[0], *(f" {text}" for text in texts[1:])]
    return spaced, [len(group) for group in groups]
