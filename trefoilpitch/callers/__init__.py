"""The HTTP API for callers."""

from trefoilpitch.callers._api import (
    CHAT_PATH,
    ENTRIES_PATH,
    FORWARDED_HEADER,
    HEALTH_PATH,
    SERVICES_PREFIX,
    CallerApi,
    CallerDependencies,
)
from trefoilpitch.callers._entries import EntriesEndpoint, ViewSource
from trefoilpitch.callers._keyed_calls import (
    CallResult,
    Forwarder,
    HomeDirectory,
    KeyedCall,
    KeyedCalls,
    KeyRegister,
    Registration,
)

__all__ = [
    "CHAT_PATH",
    "ENTRIES_PATH",
    "FORWARDED_HEADER",
    "HEALTH_PATH",
    "SERVICES_PREFIX",
    "CallResult",
    "CallerApi",
    "CallerDependencies",
    "EntriesEndpoint",
    "Forwarder",
    "HomeDirectory",
    "KeyRegister",
    "KeyedCall",
    "KeyedCalls",
    "Registration",
    "ViewSource",
]
