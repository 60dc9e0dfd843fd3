"""Events and actions of the gatekeeper's and the holder's state machines."""

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
    """A new membership view.

    Due several times per ``view_age_limit_ms``.
    """

    # The fleet, as last observed by this daemon.
    view: MembershipView


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """The bundle's upstreams changed."""

    # Every upstream of the bundle.
    upstreams: tuple[Upstream, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamReported:
    """A load report of an upstream was received."""

    # The upstream's name.
    upstream: str
    # The upstream's process incarnation.
    incarnation: str
    # Pieces of work that it runs.
    running: int
    # Whether it reports that its cold start is over.
    reported_warm: bool = True
    # When the report was requested, on this daemon's monotonic clock. The
    # state that it describes is at most ``report_lag_ms`` older. The time of
    # arrival would not bound its age, as old reports arrive after a pause.
    as_of_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HolderMessageReceived:
    """A message from a holder was received."""

    # The holder's process incarnation.
    holder: str
    # The peer address for replies.
    address: str
    message: HolderMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandoverMessageReceived:
    """Another gatekeeper requests a handover or sends one."""

    # The sender's VM name and process incarnation.
    sender: str
    incarnation: str
    # The peer address for replies.
    address: str
    message: HandoverMessage


GatekeeperEvent = (
    FleetObserved
    | UpstreamsChanged
    | UpstreamReported
    | HolderMessageReceived
    | HandoverMessageReceived
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendFromGatekeeper:
    """Send a message to a holder or another gatekeeper, without waiting."""

    # The recipient's peer address.
    address: str
    message: GatekeeperMessage | HandoverMessage


class AdmissionKind(enum.Enum):
    """Whether a piece of work may be sent to an upstream now."""

    # The upstream is warm; no credit is needed.
    WARM = "warm"
    # The upstream is cold; the work uses a credit.
    CREDIT = "credit"
    # The upstream is cold and there is no credit.
    WAIT = "wait"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """The decision on one piece of work."""

    # The upstream's name.
    upstream: str
    kind: AdmissionKind
    # The credit that the work uses; None unless the kind is ``CREDIT``.
    credit: CreditRef | None = None
    # The upstream incarnation that the decision is for; empty if unknown.
    upstream_incarnation: str = ""


class WorkOutcome(enum.Enum):
    """How a piece of work ended."""

    # It ran and succeeded.
    SUCCEEDED = "succeeded"
    # It ran, or may have run, and failed.
    FAILED = "failed"
    # The upstream refused it for lack of capacity.
    REFUSED = "refused"
    # The connection was refused or broke; the upstream may have restarted.
    UNREACHABLE = "unreachable"
    # It was never sent.
    NOT_RUN = "not_run"


@dataclasses.dataclass(frozen=True, slots=True)
class DemandChanged:
    """The number of pieces of work that wait for an upstream changed."""

    # The upstream's name.
    upstream: str
    # Pieces of work that wait; 0 if none.
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkEnded:
    """Work that was admitted ended, or is known not to run."""

    admission: Admission
    outcome: WorkOutcome
    # Time to the first token or to the response, comparable between pieces of
    # work.
    latency_ms: int | None = None
    # Whether it may still be running. An upstream continues for a while after
    # the connection is closed, and longer if another caller resumes the
    # response.
    may_run: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatekeeperMessageReceived:
    """A message from a gatekeeper was received."""

    # The gatekeeper's process incarnation.
    gatekeeper: str
    message: GatekeeperMessage


@dataclasses.dataclass(frozen=True, slots=True)
class TimePassed:
    """A timer tick, due several times per ``holding_interval_ms``."""


HolderEvent = (
    FleetObserved
    | UpstreamsChanged
    | UpstreamReported
    | GatekeeperMessageReceived
    | DemandChanged
    | WorkEnded
    | TimePassed
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendToGatekeeper:
    """Send a message to a gatekeeper, which may be this daemon itself."""

    # The gatekeeper's peer address.
    address: str
    message: HolderMessage


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionChanged:
    """Work that waits for an upstream should request admission again."""

    # The upstream's name.
    upstream: str


HolderAction = SendToGatekeeper | AdmissionChanged
