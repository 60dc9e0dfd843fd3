"""Bills each request exactly once, across crashes and store outages."""

from trefoilpitch.ledger._bills import Bill, BillLine
from trefoilpitch.ledger._copies import (
    COPY_PAYLOAD_KINDS,
    BillCopies,
    CopyAck,
    CopyHolder,
    CopySender,
    Holder,
    choose_holder,
)
from trefoilpitch.ledger._exceptions import (
    DamagedSegmentError,
    LedgerError,
    LedgerFullError,
)
from trefoilpitch.ledger._segments import (
    LEDGER_PREFIX,
    MAX_UNWRITTEN_BYTES,
    SEAL_AFTER_MS,
    SEAL_AT_BYTES,
    Segment,
    SegmentWriter,
    decode_segment,
    encode_segment,
)
from trefoilpitch.ledger._totals import (
    WorkspaceTotal,
    deduplicate_bills,
    total_by_workspace,
)

__all__ = [
    "Bill",
    "BillCopies",
    "BillLine",
    "COPY_PAYLOAD_KINDS",
    "CopyAck",
    "CopyHolder",
    "CopySender",
    "Holder",
    "choose_holder",
    "LEDGER_PREFIX",
    "MAX_UNWRITTEN_BYTES",
    "SEAL_AFTER_MS",
    "SEAL_AT_BYTES",
    "Segment",
    "SegmentWriter",
    "WorkspaceTotal",
    "decode_segment",
    "encode_segment",
    "total_by_workspace",
    "deduplicate_bills",
    "DamagedSegmentError",
    "LedgerError",
    "LedgerFullError",
]
