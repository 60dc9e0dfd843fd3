"""Errors of the ledger."""


class LedgerError(Exception):
    """Bills could not be written or read."""


class LedgerFullError(LedgerError):
    """The limit on bills that are held in memory is reached."""


class DamagedSegmentError(LedgerError):
    """A segment read from the store cannot be decoded."""
