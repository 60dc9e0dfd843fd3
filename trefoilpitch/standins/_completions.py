"""The answers that the engine stand-in gives, and how good they are.

An answer is a function of the prompt, the version and whether it is good. The
rating stand-in recognises a good answer by its text, so that the two need not
share settings.
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


def fraction(*parts: str) -> float:
    """Returns a number in [0, 1) that depends only on the parts."""
    return xxhash.xxh64_intdigest("\x1f".join(parts).encode()) / _SCALE


def is_good(prompt: str, quality: float) -> bool:
    """Whether a version of the given quality answers the prompt well.

    Prompts differ in difficulty; a better version answers every prompt well
    that a worse one does.
    """
    return fraction("difficulty", prompt) < quality


def confidence(prompt: str, version: str, *, good: bool) -> float:
    """Returns a confidence that tends to be high for good answers."""
    noise = fraction("confidence", prompt, version)
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
    """Returns an answer as words, one a token; a whole one ends with a dot."""
    words = list(_whole_answer(prompt, version, good=good))
    return [*[_EXTRA_WORD] * extra_words, *words][:max_tokens]


def score(prompt: str, version: str, answer: str) -> float:
    """Rates an answer from 0 to 1; one that is cut short gets 0."""
    expected = list(_whole_answer(prompt, version, good=True))
    given = answer.split(" ")
    if len(given) != len(expected):
        return 0.0
    pairs = zip(given, expected, strict=True)
    equal = sum(one == other for one, other in pairs)
    return round(equal / len(expected), 4)


def _whole_answer(prompt: str, version: str, *, good: bool) -> Iterator[str]:
    length = fraction("length", prompt)
    count = _MIN_WORDS + int(length * _WORDS_SPREAD)
    kind = "good" if good else "bad"
    for position in range(count):
        draw = fraction("word", prompt, version, kind, str(position))
        yield _WORDS[int(draw * len(_WORDS))]
    yield _END
