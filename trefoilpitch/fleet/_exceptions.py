"""Errors of the shared state and its store."""


class FleetError(Exception):
    """Base of the errors of this package."""


class StoreUnavailableError(FleetError):
    """The store sent no response in time, or one that reports a failure."""


class HistoryLostError(FleetError):
    """The store has compacted the history after the requested revision."""


class ConditionFailedError(FleetError):
    """A compare-and-swap conflicted with another write; nothing was written."""


class LeaseLostError(FleetError):
    """The lease has expired or was revoked."""


class MalformedDocumentError(FleetError):
    """A stored document can't be decoded."""
