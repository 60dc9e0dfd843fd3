"""State of the engine stand-in: completions, versions, load and counts."""

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
from trefoilpitch.standins._engine_types import (
    Completion,
    CompletionState,
    EngineSettings,
    Prompt,
    Run,
)
from trefoilpitch.standins._engine_versions import LoadedVersions
from trefoilpitch.standins._prefix_cache import CacheEventEntry, PrefixCache
from trefoilpitch.standins._report_log import DelayedReports, EngineReport

_DEFAULT_QUALITY = 0.7


class RefusalError(Exception):
    """The engine refused a request without running it."""


class OtherIncarnationError(RefusalError):
    """The request names an incarnation other than the current one."""


class EngineState:
    """The engine without its HTTP server; thread-safe.

    There is no background thread: methods that read or change completions
    first advance all of them to the clock's current time.

    Args:
        settings: The engine's behaviour; may be changed while it runs.
        clock: Times the generation of tokens.
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
        self._completions: dict[str, Completion] = {}
        self._active: list[Completion] = []
        self._reports = DelayedReports()
        self._cache = PrefixCache()
        self.restart()

    @property
    def incarnation(self) -> str:
        """ID of the current run of the engine; changes at each restart."""
        return self._incarnation

    @property
    def warm(self) -> bool:
        """Whether the engine can serve its full capacity."""
        return self._finished_since_start >= self.settings.warm_after

    def now_ms(self) -> int:
        """Returns the clock's monotonic time in milliseconds."""
        return self._clock.now_ms()

    def restart(self) -> None:
        """Drops completions and cache and starts a new, cold incarnation."""
        with self.lock:
            for completion in self._active:
                completion.state = CompletionState.DROPPED
            self._active.clear()
            self._completions.clear()
            self._cache.clear()
            self._finished_since_start = 0
            self._incarnation = uuid.uuid4().hex[:12]
            self._record_report()

    def admit(self, prompt: Prompt) -> Completion | None:
        """Admits a request, which starts at once or waits for a free slot.

        Returns:
            The completion, or None if the engine was cold, got more requests
            than `cold_capacity` and crashed.

        Raises:
            RefusalError: If the engine refuses the request.
        """
        with self.lock:
            self._advance()
            self._check_incarnation(prompt.incarnation)
            self._check_version(prompt.version)
            load = len(self._active)
            if not self.warm and load >= self.settings.cold_capacity:
                self.counts["falls"] += 1
                self.restart()
                return None
            if load >= self.settings.capacity + self.settings.max_waiting:
                raise RefusalError("overloaded")
            completion = self._create_completion(prompt)
            self._completions[prompt.request_id] = completion
            self._active.append(completion)
            self._record_peak_load()
            self._advance()
            return completion

    def attach(self, request_id: str) -> Completion | None:
        """Adds a reader to a completion; None if it is no longer held."""
        with self.lock:
            self._advance()
            completion = self._completions.get(request_id)
            if completion is not None:
                completion.readers += 1
            return completion

    def detach(self, completion: Completion) -> None:
        """Removes a reader from a completion."""
        with self.lock:
            completion.readers -= 1
            completion.idle_since_ms = self._clock.now_ms()
            self._advance()

    def available(self, completion: Completion) -> int:
        """Returns how many chunks of a completion have been generated."""
        with self.lock:
            self._advance()
            return self._generated_chunks(completion, self._clock.now_ms())

    def discard(self, completion: Completion) -> None:
        """Cancels a completion and removes it, so it cannot be resumed."""
        with self.lock:
            if self._completions.get(completion.request_id) is completion:
                del self._completions[completion.request_id]
            if completion.active:
                self._active.remove(completion)
                completion.state = CompletionState.CANCELLED

    def load_report(self) -> EngineReport:
        """Returns the newest report at least `load_lag_ms` old."""
        with self.lock:
            self._advance()
            self._record_report()
            due_ms = self._clock.wall_ms() - self.settings.load_lag_ms
            return self._reports.newest_before(due_ms)

    def cache_events(self, after: int) -> list[CacheEventEntry]:
        """Returns the events after a sequence number.

        Events younger than `load_lag_ms` are withheld.
        """
        with self.lock:
            until_ms = self._clock.wall_ms() - self.settings.load_lag_ms
            return self._cache.events(after, until_ms)

    def accept_fencing_number(self, number: int) -> bool:
        """Whether to execute an order with this fencing number; counts it."""
        with self.lock:
            checked = self.settings.checks_fencing
            is_accepted = self._versions.accept_fencing_number(
                number, checked=checked
            )
            self.counts["orders" if is_accepted else "orders_refused"] += 1
            return is_accepted

    def load(self, version: str) -> None:
        """Loads a version, which serves requests after `load_ms`."""
        with self.lock:
            self.counts["loads"] += 1
            self._versions.load(version, self.settings.load_ms)

    def unload(self, version: str) -> None:
        """Unloads a version; its in-flight completions continue."""
        with self.lock:
            self.counts["unloads"] += 1
            self._versions.unload(version)

    def versions(self) -> list[str]:
        """Returns the versions that are loaded now."""
        with self.lock:
            return self._versions.serving

    def _record_peak_load(self) -> None:
        name = "peak_warm" if self.warm else "peak_cold"
        self.counts[name] = max(self.counts[name], len(self._active))

    def _check_incarnation(self, incarnation: str) -> None:
        if incarnation not in ("", self._incarnation):
            raise OtherIncarnationError("other_incarnation")

    def _check_version(self, version: str) -> None:
        if version not in self._versions.serving:
            raise RefusalError("version_not_loaded")

    def _create_completion(self, prompt: Prompt) -> Completion:
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
        texts, tokens = _split_chunks(words, settings.chunk_tokens)
        hit = self._cache.access(
            prompt.prefix,
            size=settings.cache_prefixes,
            lose_every=settings.cache_event_loss,
            now_ms=self._clock.wall_ms(),
        )
        self.counts["prefix_hits"] += hit
        return Completion(
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

    def _advance(self) -> None:
        now_ms = self._clock.now_ms()
        for completion in list(self._active):
            self._advance_completion(completion, now_ms)
        running = sum(
            completion.state is CompletionState.RUNNING
            for completion in self._active
        )
        waiting = [
            completion
            for completion in self._active
            if completion.state is CompletionState.WAITING
        ]
        waiting.sort(key=lambda completion: completion.rank)
        for completion in waiting[: max(self.settings.capacity - running, 0)]:
            self._start(completion, now_ms)
        self._expire_held(now_ms)

    def _start(self, completion: Completion, now_ms: int) -> None:
        completion.state = CompletionState.RUNNING
        completion.started_ms = now_ms
        self.runs.append(
            Run(
                request_id=completion.request_id,
                version=completion.version,
                incarnation=self._incarnation,
                started_ms=self._clock.wall_ms(),
            )
        )

    def _generated_chunks(self, completion: Completion, now_ms: int) -> int:
        chunks = completion.available(now_ms)
        if self.settings.holds_answers and completion.active:
            return min(chunks, 1)
        return chunks

    def _advance_completion(self, completion: Completion, now_ms: int) -> None:
        if self._generated_chunks(completion, now_ms) >= len(completion.texts):
            completion.state = CompletionState.FINISHED
            completion.idle_since_ms = now_ms
            self._active.remove(completion)
            self._finished_since_start += 1
            self.counts["finished"] += 1
        elif self._is_abandoned(completion, now_ms):
            completion.state = CompletionState.CANCELLED
            self._active.remove(completion)
            self.counts["cancelled"] += 1

    def _expire_held(self, now_ms: int) -> None:
        for request_id, completion in list(self._completions.items()):
            if not completion.active and self._is_abandoned(completion, now_ms):
                del self._completions[request_id]

    def _is_abandoned(self, completion: Completion, now_ms: int) -> bool:
        idle_ms = now_ms - completion.idle_since_ms
        return completion.readers == 0 and idle_ms > self.settings.hold_ms

    def _record_report(self) -> None:
        states = [completion.state for completion in self._active]
        report = EngineReport(
            incarnation=self._incarnation,
            running=states.count(CompletionState.RUNNING),
            waiting=states.count(CompletionState.WAITING),
            capacity=self.settings.capacity,
            warm=self.warm,
            leaving=self.settings.leaving,
            role=self.settings.role,
            cached_prefixes=self._cache.prefixes,
            versions=self._versions.serving,
            reported_ms=self._clock.wall_ms(),
        )
        self._reports.add(report)


def _split_chunks(words: list[str], size: int) -> tuple[list[str], list[int]]:
    groups = [words[at : at + size] for at in range(0, len(words), size)]
    texts = [" ".join(group) for group in groups]
    spaced = [texts[0], *(f" {text}" for text in texts[1:])]
    return spaced, [len(group) for group in groups]
