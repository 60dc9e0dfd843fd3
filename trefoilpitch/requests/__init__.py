"""At-most-once execution of keyed requests on their home node."""

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
