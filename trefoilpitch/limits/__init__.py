"""Admission queues, concurrency limits and bounded waiting in outages."""

from trefoilpitch.limits._concurrency import (
    ConcurrencyLimit,
    LimitSettings,
    concurrency_limit,
)
from trefoilpitch.limits._nodes import (
    Queued,
    QueueSettings,
    RefusalReason,
    Refused,
    Ticket,
)
from trefoilpitch.limits._outage import (
    OUTAGE_WAIT_MS,
    OutageTracker,
    outage_retry_after_ms,
)
from trefoilpitch.limits._queue import Admission, AdmissionQueue

__all__ = [
    "OUTAGE_WAIT_MS",
    "Admission",
    "AdmissionQueue",
    "ConcurrencyLimit",
    "LimitSettings",
    "OutageTracker",
    "QueueSettings",
    "Queued",
    "RefusalReason",
    "Refused",
    "Ticket",
    "concurrency_limit",
    "outage_retry_after_ms",
]
