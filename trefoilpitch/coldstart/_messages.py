"""Messages of the cold start protocol between holders and gatekeepers."""

from __future__ import annotations

import msgspec

from trefoilpitch.peering import PayloadKind

UNKNOWN_INCARNATION = ""


class CreditRef(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one credit, which permits one piece of work."""

    # The process incarnation of the gatekeeper that granted it.
    issuer: str
    # The credit's number, unique among the issuer's credits.
    number: int


class CreditRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests credits from the gatekeeper of an upstream."""

    # The upstream's name.
    upstream: str
    # Increases with every request of the holder's process incarnation.
    sequence: int
    # How many credits are requested.
    count: int


class CreditGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grants credits, each to be used within the validity."""

    # The upstream's name.
    upstream: str
    # The sequence number of the request that this replies to.
    sequence: int
    # The upstream incarnation that the credits are valid for; empty if unknown.
    upstream_incarnation: str
    credits: tuple[CreditRef, ...]
    # How long they may be used, counted from when the request was sent.
    validity_ms: int


class CreditRefusal(msgspec.Struct, frozen=True, array_like=True):
    """Refuses a request for credits for now."""

    # The upstream's name.
    upstream: str
    # The sequence number of the request that this replies to.
    sequence: int


class WarmNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tells a holder that an upstream is warm and needs no credits."""

    # The upstream's name.
    upstream: str
    # The sequence number of the request that this replies to.
    sequence: int
    # The incarnation that is warm.
    upstream_incarnation: str


class CreditReturn(msgspec.Struct, frozen=True, array_like=True):
    """Returns a credit whose work ended or never began."""

    # The upstream's name.
    upstream: str
    credit: CreditRef
    # Whether the work ran and succeeded.
    is_success: bool


class HeldCredits(msgspec.Struct, frozen=True, array_like=True):
    """Lists the credits that a holder still holds, in case a return was lost.

    A credit from a request up to ``settled_sequence`` that is not listed is
    not in use and never will be.
    """

    # The upstream's name.
    upstream: str
    # The latest request that can't bring the holder further credits.
    settled_sequence: int
    # Credits that are in use or may still be used.
    held: tuple[CreditRef, ...]


class ColdSign(msgspec.Struct, frozen=True, array_like=True):
    """Tells the gatekeeper that an upstream shows signs of a cold start."""

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
    """Requests the ledger of an upstream from its previous gatekeeper."""

    # The upstream's name.
    upstream: str
    # When the requester's tenure began, on its own clock.
    tenure_ms: int
    # When the request was sent, on the requester's clock.
    asked_ms: int


class HandedOverCredit(msgspec.Struct, frozen=True, array_like=True):
    """A credit that has not been returned to the gatekeeper that granted it."""

    credit: CreditRef
    # The holder's process incarnation, and the sequence of its request.
    holder: str
    sequence: int
    # The upstream incarnation that it is valid for; empty if unknown.
    upstream_incarnation: str


class Handover(msgspec.Struct, frozen=True, array_like=True):
    """Tells the next gatekeeper how much work may be running or may start.

    The sender has stopped granting credits.
    """

    # The upstream's name.
    upstream: str
    # Copied from the request.
    tenure_ms: int
    asked_ms: int
    # Credits that are in use or may still be used.
    credits: tuple[HandedOverCredit, ...]
    # Pieces of untracked work, such as that of still earlier gatekeepers, that
    # may be running.
    inherited: int
    # The upstream's incarnation, and its successes so far on the ramp.
    upstream_incarnation: str
    successes: int


HandoverMessage = HandoverRequest | Handover
HolderMessage = CreditRequest | CreditReturn | HeldCredits | ColdSign
GatekeeperMessage = CreditGrant | CreditRefusal | WarmNotice | ColdNotice

PAYLOAD_KINDS = (
    PayloadKind("coldstart.request", CreditRequest),
    PayloadKind("coldstart.grant", CreditGrant),
    PayloadKind("coldstart.refusal", CreditRefusal),
    PayloadKind("coldstart.warm", WarmNotice),
    PayloadKind("coldstart.return", CreditReturn),
    PayloadKind("coldstart.holding", HeldCredits),
    PayloadKind("coldstart.cold_sign", ColdSign),
    PayloadKind("coldstart.cold", ColdNotice),
    PayloadKind("coldstart.handover_request", HandoverRequest),
    PayloadKind("coldstart.handover", Handover),
)
