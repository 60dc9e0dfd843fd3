"""Which requests wait, in what order, and which are refused at once."""

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
from trefoilpitch.limits._queue import Admission, AdmissionQueue

__all__ = [
    "Admission",
    "AdmissionQueue",
    "ConcurrencyLimit",
    "LimitSettings",
    "QueueSettings",
    "Queued",
    "RefusalReason",
    "Refused",
    "Ticket",
    "concurrency_limit",
]
