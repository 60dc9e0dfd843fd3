"""Runs a keyed request at most once on the node that is its home."""

from trefoilpitch.requests._registry import (
    KEY_VALIDITY_MS,
    MAX_ANSWER_BYTES,
    Admission,
    Phase,
    RequestRegistry,
    RequestSlot,
    Verdict,
)

__all__ = [
    "KEY_VALIDITY_MS",
    "MAX_ANSWER_BYTES",
    "Admission",
    "Phase",
    "RequestRegistry",
    "RequestSlot",
    "Verdict",
]
