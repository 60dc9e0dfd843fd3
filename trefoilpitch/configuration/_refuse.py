"""The result type of the configuration rules."""

from __future__ import annotations

from typing import TypeAlias

from returns.result import Failure, Result

from trefoilpitch.configuration._exceptions import ChangeError, Refusal
from trefoilpitch.configuration._nodes import Configuration

Outcome: TypeAlias = Result[Configuration, ChangeError]


def refuse(refusal: Refusal, message: str) -> Outcome:
    """Returns a failure with a message for the operator."""
    return Failure(ChangeError(refusal=refusal, message=message))
