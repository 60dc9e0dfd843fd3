"""Messages between the holders of credits and the gatekeepers."""

from __future__ import annotations

import msgspec

from trefoilpitch.peering import PayloadKind

UNKNOWN_INCARNATION = ""


class CreditRef(msgspec.Struct, frozen=True, array_like=True):
    """Names one credit, which permits one piece of work."""

    # The process incarnation of the gatekeeper that granted it.
    issuer: str
    # Its number among the issuer's credits.
    number: int


class CreditRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks the gatekeeper of an upstream for credits."""

    # The upstream's name.
    upstream: str
    # Grows with every request of the holder's process incarnation.
    sequence: int
    # How many credits are wanted.
    count: int


class CreditGrant(msgspec.Struct, frozen=True, array_like=True):
    """Permits some pieces of work, each to be started soon."""

    # The upstream's name.
    upstream: str
    # The request that this answers.
    sequence: int
    # The upstream's incarnation that the credits are for; empty if unknown.
    upstream_incarnation: str
    # The credits.
    credits: tuple[CreditRef, ...]
    # How long they may be used, counted from the sending of the request.
    validity_ms: int


class CreditRefusal(msgspec.Struct, frozen=True, array_like=True):
    """Grants nothing for now."""

    # The upstream's name.
    upstream: str
    # The request that this answers.
    sequence: int


class WarmNotice(msgspec.Struct, frozen=True, array_like=True):
    """Says that an incarnation of an upstream needs no credits."""

    # The upstream's name.
    upstream: str
    # The request that this answers.
    sequence: int
    # The incarnation that is warm.
    upstream_incarnation: str


class CreditReturn(msgspec.Struct, frozen=True, array_like=True):
    """Gives back a credit whose work ended or never began."""

    # The upstream's name.
    upstream: str
    # The credit.
    credit: CreditRef
    # Whether the work ran and succeeded.
    is_success: bool


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """Tells a gatekeeper what a holder still holds, in case a return got lost.

    A credit from a request up to ``settled_sequence`` that is not listed is
    neither running nor will it ever be used.
    """

    # The upstream's name.
    upstream: str
    # The latest request whose credits can't be put to use any more.
    settled_sequence: int
    # Credits that are running or may still be used.
    held: tuple[CreditRef, ...]


class ColdSign(msgspec.Struct, frozen=True, array_like=True):
    """Reports that an upstream shows signs of a cold start."""

    # The upstream's name.
    upstream: str
    # The incarnation that showed them.
    upstream_incarnation: str


class ColdNotice(msgspec.Struct, frozen=True, array_like=True):
    """Revokes a ``WarmNotice``."""

    # The upstream's name.
    upstream: str
    # The incarnation that is cold again.
    upstream_incarnation: str


class HandoverRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks the previous gatekeeper of an upstream for its books."""

    # The upstream's name.
    upstream: str
    # When the asker's tenure began, on its own clock.
    tenure_ms: int
    # When it asked, on its own clock.
    asked_ms: int


class HandedCredit(msgspec.Struct, frozen=True, array_like=True):
    """A credit that was not given back to the gatekeeper that granted it."""

    # The credit.
    credit: CreditRef
    # The holder's process incarnation and its request.
    holder: str
    sequence: int
    # The upstream's incarnation that it is for; empty if unknown.
    upstream_incarnation: str


class Handover(msgspec.Struct, frozen=True, array_like=True):
    """Says how much work an earlier gatekeeper's credits permit.

    The sender grants no more.
    """

    # The upstream's name.
    upstream: str
    # Copied from the request.
    tenure_ms: int
    asked_ms: int
    # Credits that may be in use or put to use.
    credits: tuple[HandedCredit, ...]
    # Pieces of work of still earlier gatekeepers that may be running.
    inherited: int
    # How far the ramp has come, and for which incarnation of the upstream.
    upstream_incarnation: str
    successes: int


HandoverMessage = HandoverRequest | Handover
HolderMessage = CreditRequest | CreditReturn | Holding | ColdSign
GatekeeperMessage = CreditGrant | CreditRefusal | WarmNotice | ColdNotice

PAYLOAD_KINDS = (
    PayloadKind("coldstart.request", CreditRequest),
    PayloadKind("coldstart.grant", CreditGrant),
    PayloadKind("coldstart.refusal", CreditRefusal),
    PayloadKind("coldstart.warm", WarmNotice),
    PayloadKind("coldstart.return", CreditReturn),
    PayloadKind("coldstart.holding", Holding),
    PayloadKind("coldstart.cold_sign", ColdSign),
    PayloadKind("coldstart.cold", ColdNotice),
    PayloadKind("coldstart.handover_request", HandoverRequest),
    PayloadKind("coldstart.handover", Handover),
)
