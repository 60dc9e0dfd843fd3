"""Errors of the ledger."""


class LedgerError(Exception):
    """Bills could not be written or read."""


class LedgerFullError(LedgerError):
    """No more unwritten bills can be held."""


class DamagedSegmentError(LedgerError):
    """A segment read from the store cannot be decoded."""
