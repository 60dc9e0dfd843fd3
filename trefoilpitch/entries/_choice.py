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
    """Why a caller gets no address."""

    # The view is too old to tell who lives; its owner was paused.
    STALE_VIEW = "stale_view"
    # No other member is known to be alive, and the owner is leaving.
    NO_LIVE_MEMBER = "no_live_member"
    # Every live member is taken out by the operators.
    ALL_TAKEN_OUT = "all_taken_out"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntriesSettings:
    """Limits of what a caller is given."""

    # How long a caller may keep the answer.
    ttl_ms: int = 5_000
    # Most addresses in one answer.
    candidates: int = 4
    # Failure domains among the candidates, where so many are in service.
    min_failure_domains: int = 2
    # Oldest view that an answer may rest on.
    view_age_limit_ms: int = 2_000
    # Weight of a VM that reports itself full, relative to an idle one.
    min_weight: float = 0.02
    # A load report this old counts as the fleet's mean.
    report_age_limit_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One entry VM for a caller to use."""

    # The VM's name.
    name: str
    # IP number and port for requests.
    address: str
    # The failure domain that it runs in.
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryList:
    """The answer to a caller."""

    # VMs to use, best first.
    entries: tuple[Entry, ...]
    # How long the answer may be kept.
    ttl_ms: int
    # Why there are no entries; ``None`` if there are some.
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

    Live VMs that operators have not taken out are drawn at random, weighted by
    their free share; those in the caller's failure domain go first unless they
    are much busier than the rest. At least two failure domains are among the
    candidates, so that the caller survives the loss of one by itself.

    Args:
        view: The fleet, as known here.
        configuration: The configuration in force.
        failure_domain: The caller's, if it named one.
        now_ms: Monotonic time, as in the view.
        seed: Varies per request, so that callers spread.
        settings: Limits.
    """
    settings = settings or EntriesSettings()
    if now_ms - view.as_of_ms > settings.view_age_limit_ms:
        return _refuse(settings, NoEntriesReason.STALE_VIEW)
    live = [member for member in view.members if member.is_eligible]
    if not live:
        return _refuse(settings, NoEntriesReason.NO_LIVE_MEMBER)
    eligible = [member for member in live if _is_in(member, configuration)]
    if not eligible:
        return _refuse(settings, NoEntriesReason.ALL_TAKEN_OUT)
    weights = _weigh(eligible, now_ms, settings)
    ranked = _rank(eligible, weights, seed)
    ranked = _prefer_near(ranked, weights, failure_domain)
    chosen = _spread(ranked, settings)
    return EntryList(
        entries=tuple(_to_entry(member) for member in chosen),
        ttl_ms=settings.ttl_ms,
    )


def _refuse(settings: EntriesSettings, reason: NoEntriesReason) -> EntryList:
    return EntryList(entries=(), ttl_ms=settings.ttl_ms, reason=reason)


def _is_in(member: Member, configuration: Configuration) -> bool:
    return (
        member.failure_domain not in configuration.failure_domains_out
        and member.name not in configuration.vms_out
    )


def _weigh(
    members: Sequence[Member], now_ms: int, settings: EntriesSettings
) -> dict[str, float]:
    """Returns each member's free share, at least the settings' minimum."""
    oldest_ms = now_ms - settings.report_age_limit_ms
    fresh = [
        member.report.in_flight_share
        for member in members
        if member.report_ms >= oldest_ms
    ]
    mean = math.fsum(fresh) / len(fresh) if fresh else 0.0
    weights: dict[str, float] = {}
    for member in members:
        is_fresh = member.report_ms >= oldest_ms
        share = member.report.in_flight_share if is_fresh else mean
        weights[member.name] = max(1.0 - share, settings.min_weight)
    return weights


def _rank(
    members: Iterable[Member], weights: dict[str, float], seed: int
) -> list[Member]:
    """Orders members by a weighted draw without replacement."""

    def key(member: Member) -> float:
        digest = xxhash.xxh64_intdigest(member.name.encode(), seed=seed)
        uniform = (digest + 1) / (_HASH_RANGE + 1)
        return -math.log(uniform) / weights[member.name]

    return sorted(members, key=key)


def _prefer_near(
    ranked: Sequence[Member],
    weights: dict[str, float],
    failure_domain: str | None,
) -> list[Member]:
    """Puts the caller's failure domain first, unless it is much busier."""
    near = [m for m in ranked if m.failure_domain == failure_domain]
    far = [m for m in ranked if m.failure_domain != failure_domain]
    if not near or not far:
        return list(ranked)
    if 2 * _mean_weight(near, weights) < _mean_weight(far, weights):
        return list(ranked)
    return near + far


def _mean_weight(members: Sequence[Member], weights: dict[str, float]) -> float:
    return math.fsum(weights[m.name] for m in members) / len(members)


def _spread(
    ranked: Sequence[Member], settings: EntriesSettings
) -> list[Member]:
    """Takes the first candidates, the last of them from further domains."""
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
