"""Chooses entry VMs for a caller."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Iterable, Sequence

import xxhash

from trefoilpitch.configuration import Configuration
from trefoilpitch.membership import Member, MembershipView

_HASH_RANGE = 1 << 64


class NoEntriesReason(enum.Enum):
    """Why the list of entry VMs is empty."""

    # The membership view is too old to rely on: this process was paused.
    STALE_VIEW = "stale_view"
    # No other member is alive as far as is known, and this one is leaving.
    NO_LIVE_MEMBER = "no_live_member"
    # Operators have taken every live member out of service.
    ALL_TAKEN_OUT = "all_taken_out"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntriesSettings:
    """Settings for the choice of entry VMs."""

    # How long a caller may cache the list.
    ttl_ms: int = 5_000
    # Maximum number of VMs in a list.
    candidates: int = 4
    # Minimum number of failure domains in a list, if that many have VMs in
    # service.
    min_failure_domains: int = 2
    # Maximum age of the membership view that the choice may be based on.
    view_age_limit_ms: int = 2_000
    # Weight of a VM that reports full utilization; an idle one has 1.
    min_weight: float = 0.02
    # For a VM whose load report is older, the mean load of the fleet is used.
    report_age_limit_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """An entry VM for a caller to use."""

    # Name of the VM.
    name: str
    # IP address and port for requests.
    address: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryList:
    """The entry VMs for one caller."""

    # In the order in which the caller should try them.
    entries: tuple[Entry, ...]
    # How long the caller may cache the list.
    ttl_ms: int
    # Why there are no entries; None if there are some.
    reason: NoEntriesReason | None = None


def choose_entries(
    view: MembershipView,
    configuration: Configuration,
    failure_domain: str | None,
    now_ms: int,
    seed: int,
    *,
    settings: EntriesSettings | None = None,
) -> EntryList:
    """Chooses entry VMs for one caller.

    The choice is a random draw among the live VMs that are in service, weighted
    by their free capacity. VMs in the caller's failure domain rank first unless
    they are much busier than the rest. The list spans at least two failure
    domains if there are two, so that a caller can fail over by itself when one
    is lost.

    Args:
        view: The membership view of this node.
        configuration: The configuration in force.
        failure_domain: The caller's failure domain; None if not specified.
        now_ms: Monotonic time, on the clock of the view.
        seed: Varies per request, so that callers spread over the VMs.
        settings: Uses the defaults if None.
    """
    settings = settings or EntriesSettings()
    if now_ms - view.as_of_ms > settings.view_age_limit_ms:
        return _no_entries(settings, NoEntriesReason.STALE_VIEW)
    live = [member for member in view.members if member.is_eligible]
    if not live:
        return _no_entries(settings, NoEntriesReason.NO_LIVE_MEMBER)
    eligible = [
        member for member in live if _is_in_service(member, configuration)
    ]
    if not eligible:
        return _no_entries(settings, NoEntriesReason.ALL_TAKEN_OUT)
    weights = _free_capacity_weights(eligible, now_ms, settings)
    ranked = _rank(eligible, weights, seed)
    ranked = _prefer_local_domain(ranked, weights, failure_domain)
    chosen = _ensure_domain_spread(ranked, settings)
    return EntryList(
        entries=tuple(_to_entry(member) for member in chosen),
        ttl_ms=settings.ttl_ms,
    )


def _no_entries(
    settings: EntriesSettings, reason: NoEntriesReason
) -> EntryList:
    return EntryList(entries=(), ttl_ms=settings.ttl_ms, reason=reason)


def _is_in_service(member: Member, configuration: Configuration) -> bool:
    return (
        member.failure_domain not in configuration.failure_domains_out
        and member.name not in configuration.vms_out
    )


def _free_capacity_weights(
    members: Sequence[Member], now_ms: int, settings: EntriesSettings
) -> dict[str, float]:
    """Returns each member's free share of its capacity as its weight.

    No weight is less than the minimum in the settings.
    """
    min_report_ms = now_ms - settings.report_age_limit_ms
    fresh_shares = [
        member.report.in_flight_share
        for member in members
        if member.report_ms >= min_report_ms
    ]
    mean = math.fsum(fresh_shares) / len(fresh_shares) if fresh_shares else 0.0
    weights: dict[str, float] = {}
    for member in members:
        is_fresh = member.report_ms >= min_report_ms
        in_flight_share = member.report.in_flight_share if is_fresh else mean
        weights[member.name] = max(1.0 - in_flight_share, settings.min_weight)
    return weights


def _rank(
    members: Iterable[Member], weights: dict[str, float], seed: int
) -> list[Member]:
    """Ranks members by weighted random sampling without replacement.

    Each member's key is exponentially distributed with its weight as the rate,
    so that a member comes first with a probability proportional to its weight.
    """

    def key(member: Member) -> float:
        digest = xxhash.xxh64_intdigest(member.name.encode(), seed=seed)
        uniform = (digest + 1) / (_HASH_RANGE + 1)
        return -math.log(uniform) / weights[member.name]

    return sorted(members, key=key)


def _prefer_local_domain(
    ranked: Sequence[Member],
    weights: dict[str, float],
    failure_domain: str | None,
) -> list[Member]:
    """Ranks the caller's failure domain first, unless it is much busier.

    It is much busier if its mean weight is less than half of the others'.
    """
    local = [m for m in ranked if m.failure_domain == failure_domain]
    remote = [m for m in ranked if m.failure_domain != failure_domain]
    if not local or not remote:
        return list(ranked)
    if 2 * _mean_weight(local, weights) < _mean_weight(remote, weights):
        return list(ranked)
    return local + remote


def _mean_weight(members: Sequence[Member], weights: dict[str, float]) -> float:
    return math.fsum(weights[m.name] for m in members) / len(members)


def _ensure_domain_spread(
    ranked: Sequence[Member], settings: EntriesSettings
) -> list[Member]:
    """Takes the first members, and replaces the last ones if necessary.

    Members of further failure domains replace them until the list spans the
    minimum number of failure domains.
    """
    chosen = list(ranked[: settings.candidates])
    domains = {member.failure_domain for member in chosen}
    for member in ranked[settings.candidates :]:
        if len(domains) >= settings.min_failure_domains:
            break
        if member.failure_domain not in domains:
            domains.add(member.failure_domain)
            chosen[-1 - (len(domains) - 2)] = member
    return chosen


def _to_entry(member: Member) -> Entry:
    return Entry(
        name=member.name,
        address=member.endpoints.caller_address,
        failure_domain=member.failure_domain,
    )
