"""Errors of the shared state."""


class FleetError(Exception):
    """Base of the errors of this package."""


class StoreUnavailableError(FleetError):
    """The store did not answer, or answered that it did nothing."""


class HistoryLostError(FleetError):
    """The store no longer has the changes that were asked for."""


class ConditionFailedError(FleetError):
    """A condition of a change did not hold; nothing was changed."""


class LeaseLostError(FleetError):
    """The lease has ended."""


class MalformedDocumentError(FleetError):
    """A stored document can't be read."""
