"""Deterministic completions of the engine stand-in, and their scores.

The text of a completion depends only on the prompt, the version and whether
the completion is good. The rating stand-in computes the good text itself and
compares, so the two stand-ins need not share settings.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import xxhash

_CONSONANTS = "bdfghklmnprstvz"
_VOWELS = "aeiou"
_WORDS = tuple(
    "".join(letters)
    for letters in itertools.product(_CONSONANTS, _VOWELS, _VOWELS)
)
_MIN_WORDS = 6
_WORDS_SPREAD = 24
_END = "."
_EXTRA_WORD = "x" * 31
_SCALE = float(1 << 64)


def hash_fraction(*parts: str) -> float:
    """Hashes the parts to a number in [0, 1)."""
    return xxhash.xxh64_intdigest("\x1f".join(parts).encode()) / _SCALE


def is_good(prompt: str, quality: float) -> bool:
    """Whether a version of the given quality completes the prompt well.

    Each prompt has a fixed difficulty, so a version of higher quality does
    well on every prompt that one of lower quality does well on.
    """
    return hash_fraction("difficulty", prompt) < quality


def confidence(prompt: str, version: str, *, good: bool) -> float:
    """Returns a confidence from 0 to 1, usually higher if the text is good."""
    noise = hash_fraction("confidence", prompt, version)
    skewed = noise ** (1 / 3) if good else noise**2
    return round(skewed, 4)


def completion_words(
    prompt: str,
    version: str,
    *,
    good: bool,
    max_tokens: int,
    extra_words: int = 0,
) -> list[str]:
    """Returns a completion as words, each of one token.

    The last word is a dot unless `max_tokens` truncates the completion.
    """
    words = list(_full_completion(prompt, version, good=good))
    return [*[_EXTRA_WORD] * extra_words, *words][:max_tokens]


def score(prompt: str, version: str, completion: str) -> float:
    """Returns the share of words, 0 to 1, that match the good completion.

    A completion of another length, such as a truncated one, scores 0.
    """
    expected = list(_full_completion(prompt, version, good=True))
    given = completion.split(" ")
    if len(given) != len(expected):
        return 0.0
    pairs = zip(given, expected, strict=True)
    equal = sum(one == other for one, other in pairs)
    return round(equal / len(expected), 4)


def _full_completion(prompt: str, version: str, *, good: bool) -> Iterator[str]:
    length = hash_fraction("length", prompt)
    count = _MIN_WORDS + int(length * _WORDS_SPREAD)
    kind = "good" if good else "bad"
    for position in range(count):
        draw = hash_fraction("word", prompt, version, kind, str(position))
        yield _WORDS[int(draw * len(_WORDS))]
    yield _END
