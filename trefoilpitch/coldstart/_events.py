"""What happens to gatekeepers and holders, and what they want done."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._messages import (
    CreditRef,
    GatekeeperMessage,
    HandoverMessage,
    HolderMessage,
)
from trefoilpitch.membership import MembershipView


@dataclasses.dataclass(frozen=True, slots=True)
class FleetObserved:
    """A new view was taken; due several times a view's age limit."""

    # The fleet, as known here.
    view: MembershipView


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """The bundle's upstreams changed."""

    # Every upstream of the bundle.
    upstreams: tuple[Upstream, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamReported:
    """An upstream reported its load."""

    # The upstream's name.
    upstream: str
    # Its incarnation.
    incarnation: str
    # Pieces of work that it runs.
    running: int
    # Whether it says that its cold start is over.
    reported_warm: bool = True
    # When the report was asked for, on this daemon's monotonic clock. The
    # state that it describes is at most ``report_lag_ms`` older. The time of
    # arrival won't do: after a pause, old reports arrive.
    as_of_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HolderSpoke:
    """A message from a holder arrived."""

    # The holder's process incarnation.
    holder: str
    # Where to send an answer.
    address: str
    # What it sent.
    message: HolderMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandoverArrived:
    """Another gatekeeper asks for books or hands them over."""

    # The sender's VM name and process incarnation.
    sender: str
    incarnation: str
    # Where to send an answer.
    address: str
    # What it sent.
    message: HandoverMessage


GatekeeperEvent = (
    FleetObserved
    | UpstreamsChanged
    | UpstreamReported
    | HolderSpoke
    | HandoverArrived
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendFromGatekeeper:
    """Send a message to a holder or another gatekeeper, without waiting."""

    # The recipient's peer address.
    address: str
    # What to send.
    message: GatekeeperMessage | HandoverMessage


class AdmissionKind(enum.Enum):
    """Whether a piece of work may be sent to an upstream now."""

    # The upstream is warm; no credit is needed.
    WARM = "warm"
    # The upstream is cold; the work uses up a credit.
    CREDIT = "credit"
    # The upstream is cold and there is no credit.
    WAIT = "wait"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """The answer for one piece of work."""

    # The upstream's name.
    upstream: str
    # Whether the work may be sent.
    kind: AdmissionKind
    # The credit that the work uses up.
    credit: CreditRef | None = None
    # The upstream's incarnation that it rests on; empty if unknown.
    upstream_incarnation: str = ""


class WorkOutcome(enum.Enum):
    """How a piece of work ended."""

    # It ran to its end.
    SUCCEEDED = "succeeded"
    # It ran, or may have run, and failed.
    FAILED = "failed"
    # The upstream refused it for want of capacity.
    REFUSED = "refused"
    # The connection was refused or broke; the upstream may have restarted.
    UNREACHABLE = "unreachable"
    # It was never sent.
    NOT_RUN = "not_run"


@dataclasses.dataclass(frozen=True, slots=True)
class DemandChanged:
    """Work waits for an upstream, or none does any more."""

    # The upstream's name.
    upstream: str
    # Pieces of work that wait.
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkEnded:
    """Work that was admitted ended, or is known not to run."""

    # The admission that it got.
    admission: Admission
    # How it ended.
    outcome: WorkOutcome
    # Time to the first token or answer, comparable between pieces of work.
    latency_ms: int | None = None
    # Whether it may run on: an upstream goes on for a while when the connection
    # ends, and longer if somebody else takes the answer up.
    may_run: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatekeeperSpoke:
    """A message from a gatekeeper arrived."""

    # The gatekeeper's process incarnation.
    gatekeeper: str
    # What it sent.
    message: GatekeeperMessage


@dataclasses.dataclass(frozen=True, slots=True)
class TimePassed:
    """Due several times a ``holding_interval_ms``."""


HolderEvent = (
    FleetObserved
    | UpstreamsChanged
    | UpstreamReported
    | GatekeeperSpoke
    | DemandChanged
    | WorkEnded
    | TimePassed
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendToGatekeeper:
    """Send a message to a gatekeeper, perhaps this daemon itself."""

    # The gatekeeper's peer address.
    address: str
    # What to send.
    message: HolderMessage


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionChanged:
    """Work that waits for an upstream should ask for admission again."""

    # The upstream's name.
    upstream: str


HolderAction = SendToGatekeeper | AdmissionChanged
