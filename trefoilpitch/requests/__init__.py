"""Runs a keyed request at most once on the node that is its home."""

from trefoilpitch.requests._registry import (
    KEY_VALIDITY_MS,
    MAX_RESPONSE_BYTES,
    Admission,
    KeyedRequestId,
    Phase,
    RequestRegistry,
    Verdict,
)

__all__ = [
    "KEY_VALIDITY_MS",
    "MAX_RESPONSE_BYTES",
    "Admission",
    "Phase",
    "RequestRegistry",
    "KeyedRequestId",
    "Verdict",
]
