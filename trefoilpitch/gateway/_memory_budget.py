"""Accounts for the memory that a process holds for its connections.

Load pattern: clients upload many large bodies at once, stop just short of their
end, send heads of very many fields, pipeline requests whose responses they do
not read, or send and read very slowly. Whatever they do, all that is held for
them stays within one budget, and ordinary small requests find room in it: large
bodies may not use all of it, and when it is full, the accounts that have made
the least progress lately and hold the most are evicted.

Accounts of requests that were passed on are never evicted.
"""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

_BYTES_PER_MB = 1024 * 1024
# Memory of a process without clients: code, the view of the fleet, and what the
# store and the peers send.
_PROCESS_MB = 56
# Fraction of the rest that accounts may hold. Bodies are copied once when they
# are complete, and freed memory is not returned to the system at once.
_HELD_FRACTION = 0.7
# Budget where `memory-mb` leaves less.
_MIN_TOTAL_BYTES = 8 * _BYTES_PER_MB
# Fractions of the budget that only small accounts, and only small accounts and
# responses may use.
_SMALL_RESERVE = 0.25
_RESPONSE_RESERVE = 0.125
# Fractions of the budget that one client address may hold, and the bodies of
# one workspace.
_ADDRESS_SHARE = 0.875
_WORKSPACE_SHARE = 0.5
# An account that holds no more may use all of the budget.
_SMALL_BYTES = 96 * 1024
# Descriptors that are not used for connections of clients: the store, peers,
# probes and connections that are being accepted or closed.
_OTHER_DESCRIPTORS = 96
# A client's connection and the one to an upstream for its request.
_DESCRIPTORS_PER_CONNECTION = 2
_MIN_CONNECTIONS = 16
# Bytes that count as progress, and how long an account without is tolerated
# when another needs the memory.
_PROGRESS_BYTES = 4 * 1024
_STALLED_MS = 1_000
# Fraction of the budget that is freed in one go, so that the accounts are not
# searched again for each small one.
_BATCH_FRACTION = 1 / 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetLimits:
    """What a process may hold for its connections; None: no limit."""

    # All accounts together.
    total_bytes: int | None = None
    # Accounts that are open at a time.
    max_connections: int | None = None


def derive_limits(
    memory_mb: float | None, max_descriptors: int | None
) -> BudgetLimits:
    """Returns the limits of a process.

    Args:
        memory_mb: Resident memory above which it is killed; None if unknown.
        max_descriptors: Descriptors that it may open; None if unknown.
    """
    total_bytes = None
    if memory_mb is not None:
        free_bytes = (memory_mb - _PROCESS_MB) * _BYTES_PER_MB
        total_bytes = max(_MIN_TOTAL_BYTES, int(free_bytes * _HELD_FRACTION))
    max_connections = None
    if max_descriptors is not None:
        usable = max_descriptors - _OTHER_DESCRIPTORS
        max_connections = max(
            _MIN_CONNECTIONS, usable // _DESCRIPTORS_PER_CONNECTION
        )
    return BudgetLimits(
        total_bytes=total_bytes, max_connections=max_connections
    )


class HeldKind(enum.Enum):
    """What memory is held for."""

    # The connection itself.
    CONNECTION = "connection"
    # The head of a request.
    HEAD = "head"
    BODY = "body"
    # Received bytes that are not parsed yet.
    UNPARSED = "unparsed"
    # Of an upstream, or to a client that has not read it.
    RESPONSE = "response"


class Outcome(enum.Enum):
    """Whether more may be held for an account."""

    GRANTED = "granted"
    # The budget, or the workspace's share, has no room at the moment.
    NO_ROOM = "no_room"
    # The client's address holds more than its share.
    OVER_SHARE = "over_share"


_T = TypeVar("_T")
_K = TypeVar("_K")


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Account(Generic[_T]):
    """What is held for one connection."""

    # The connection.
    owner: _T
    # The client's address.
    address: str
    # Monotonic time of its latest progress, and bytes since then.
    progress_ms: int
    fresh_bytes: int = 0
    # Workspace of the request in progress; None if unknown. It does not change
    # while a body is held.
    workspace: str | None = None
    # Bytes by kind, and their sum.
    held: dict[HeldKind, int] = dataclasses.field(default_factory=dict)
    total: int = 0
    # Whether its request was passed on, so that it may have run.
    passed_on: bool = False
    # Whether a request on it has been served.
    served: bool = False
    # Whether the connection is being closed and holds nothing any more.
    closing: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Demand(Generic[_T]):
    """Bytes that an account would hold in addition."""

    account: Account[_T]
    kind: HeldKind
    more: int
    now_ms: int

    @property
    def small(self) -> bool:
        """Whether the account would still hold little."""
        return self.account.total + self.more <= _SMALL_BYTES

    @property
    def reserve(self) -> float:
        """Fraction of the budget that is reserved for other demands."""
        if self.small:
            return 0.0
        if self.kind is HeldKind.RESPONSE:
            return _RESPONSE_RESERVE
        return _SMALL_RESERVE

    @property
    def evicts_progressing(self) -> bool:
        """Whether accounts that make progress have to give way to it."""
        return self.small or self.kind is HeldKind.RESPONSE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision(Generic[_T]):
    """The result of a request for memory."""

    outcome: Outcome
    # Owners of accounts that were closed to make room.
    evicted: tuple[_T, ...] = ()


_GRANTED: Decision[Any] = Decision(outcome=Outcome.GRANTED)


class MemoryBudget(Generic[_T]):
    """The accounts of a process.

    Args:
        limits: What they may hold.
    """

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._accounts: set[Account[_T]] = set()
        self._total = 0
        self._by_kind: Counter[HeldKind] = Counter()
        self._by_address: Counter[str] = Counter()
        # Bytes of bodies.
        self._by_workspace: Counter[str] = Counter()

    @property
    def accounts(self) -> int:
        """Number of open accounts."""
        return len(self._accounts)

    def held_bytes(self) -> dict[HeldKind, int]:
        """Returns the bytes that all accounts hold, by kind."""
        return {kind: self._by_kind[kind] for kind in HeldKind}

    def open(
        self, owner: _T, address: str, now_ms: int
    ) -> tuple[Account[_T] | None, tuple[_T, ...]]:
        """Opens an account.

        Returns:
            The account, None if there are too many, and the owners of those
            that were closed to make room.
        """
        evicted: list[_T] = []
        most = self._limits.max_connections
        if most is not None and len(self._accounts) >= most:
            batch = max(1, int(most * _BATCH_FRACTION))
            for victim in _ranked(self._accounts, now_ms)[:batch]:
                if evicted and not _is_stalled(victim, now_ms):
                    break
                evicted.append(victim.owner)
                self.close(victim)
            if not evicted:
                return None, ()
        account = Account(owner=owner, address=address, progress_ms=now_ms)
        self._accounts.add(account)
        return account, tuple(evicted)

    def release(self, account: Account[_T]) -> None:
        """Releases what is held for a connection that is being closed.

        It still counts as a connection.
        """
        account.closing = True
        for kind in list(account.held):
            self._set(account, kind, 0)

    def close(self, account: Account[_T]) -> None:
        """Ends an account."""
        self.release(account)
        self._accounts.discard(account)

    def record_progress(
        self, account: Account[_T], size: int, now_ms: int
    ) -> None:
        """Records bytes that a client has sent or read."""
        account.fresh_bytes += size
        if account.fresh_bytes >= _PROGRESS_BYTES:
            account.fresh_bytes = 0
            account.progress_ms = now_ms

    def record_served(self, account: Account[_T], now_ms: int) -> None:
        """Records that a request was served."""
        account.served = True
        account.progress_ms = now_ms

    def hold(
        self, account: Account[_T], kind: HeldKind, size: int, now_ms: int
    ) -> Decision[_T]:
        """Sets the bytes that an account holds of a kind, if there is room.

        Returns:
            Whether there is room, and the owners of the accounts that were
            released to make it.
        """
        more = size - account.held.get(kind, 0)
        if account.closing or not more:
            return _GRANTED
        if more > 0 and self._limits.total_bytes is not None:
            demand = _Demand(
                account=account, kind=kind, more=more, now_ms=now_ms
            )
            decision = self._make_room(demand, self._limits.total_bytes)
            if decision.outcome is not Outcome.GRANTED:
                return decision
            self._set(account, kind, size)
            return decision
        self._set(account, kind, size)
        return _GRANTED

    def _make_room(self, demand: _Demand[_T], total: int) -> Decision[_T]:
        """Releases accounts until all limits permit a demand."""
        account = demand.account
        evicted: list[_T] = []
        if demand.kind is HeldKind.BODY and not demand.small:
            workspace = account.workspace
            held = self._by_workspace[workspace] if workspace else 0
            excess = held + demand.more - int(total * _WORKSPACE_SHARE)
            if not self._free(
                demand, excess, evicted, lambda a: a.workspace == workspace
            ):
                return Decision(outcome=Outcome.NO_ROOM)
        address = account.address
        held = self._by_address[address]
        excess = held + demand.more - int(total * _ADDRESS_SHARE)
        if not self._free(
            demand, excess, evicted, lambda a: a.address == address
        ):
            return Decision(outcome=Outcome.OVER_SHARE, evicted=tuple(evicted))
        excess = self._total + demand.more - int(total * (1 - demand.reserve))
        outcome = Outcome.GRANTED
        if not self._free(demand, excess, evicted, lambda a: True):
            outcome = Outcome.NO_ROOM
        elif not evicted:
            return _GRANTED
        return Decision(outcome=outcome, evicted=tuple(evicted))

    def _free(
        self,
        demand: _Demand[_T],
        excess: int,
        evicted: list[_T],
        among: Callable[[Account[_T]], bool],
    ) -> bool:
        """Releases accounts to free some bytes; returns whether they are free.

        Args:
            demand: What the bytes are needed for.
            excess: The bytes; not positive if so many are free already.
            evicted: Receives the owners of the accounts.
            among: Selects the accounts.
        """
        if excess <= 0:
            return True
        chosen: list[Account[_T]] = []
        freed = 0
        batch = int((self._limits.total_bytes or 0) * _BATCH_FRACTION)
        candidates = (
            account
            for account in self._accounts
            if account is not demand.account
            and not account.closing
            and among(account)
        )
        for account in _ranked(candidates, demand.now_ms):
            stalled = _is_stalled(account, demand.now_ms)
            if freed >= (max(excess, batch) if stalled else excess):
                break
            if not stalled and not demand.evicts_progressing:
                break
            chosen.append(account)
            freed += account.total
        if freed < excess:
            return False
        for account in chosen:
            evicted.append(account.owner)
            self.release(account)
        return True

    def _set(self, account: Account[_T], kind: HeldKind, size: int) -> None:
        more = size - account.held.get(kind, 0)
        if size:
            account.held[kind] = size
        else:
            account.held.pop(kind, None)
        account.total += more
        self._total += more
        _add(self._by_kind, kind, more)
        _add(self._by_address, account.address, more)
        if kind is HeldKind.BODY and account.workspace is not None:
            _add(self._by_workspace, account.workspace, more)


def _is_stalled(account: Account[_T], now_ms: int) -> bool:
    return now_ms - account.progress_ms >= _STALLED_MS


def _ranked(accounts: Iterable[Account[_T]], now_ms: int) -> list[Account[_T]]:
    """Returns the accounts that may be evicted, in that order."""

    def rank(account: Account[_T]) -> tuple[bool, bool, bool, int]:
        idle_ms = now_ms - account.progress_ms
        return (
            not account.closing,
            not _is_stalled(account, now_ms),
            account.served,
            -idle_ms * account.total,
        )

    return sorted((a for a in accounts if not a.passed_on), key=rank)


def _add(counts: Counter[_K], key: _K, more: int) -> None:
    counts[key] += more
    if not counts[key]:
        del counts[key]
