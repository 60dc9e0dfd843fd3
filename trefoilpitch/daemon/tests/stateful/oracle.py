"""The invariants of the product, as a model that shares no code with it.

The harness records events as they happen: changes by operators, work that
upstreams were sent, requests of callers and their responses. A violated
statement raises ``ViolationError``; ``exercised`` counts how often each
statement was checked. Times are in milliseconds.
"""

import collections
import dataclasses

# The users require a change to be in force on all nodes within this time.
IN_FORCE_MS = 9_000
# A leaving upstream gets no new work after this time.
LEAVING_MS = 9_000

STATEMENTS = (
    "allowed versions only",
    "withdrawn version gets no new work",
    "session keeps its version",
    "billed once",
    "cold upstream is not overloaded",
    "failure domain out of service gets no new work",
    "complete response to its own request",
    "not run is true",
    "at most once",
    "leaving upstream gets no new work",
    "graceful shutdown cuts no request",
    "configuration in force and never reverts",
)


class ViolationError(AssertionError):
    """A statement was violated."""


@dataclasses.dataclass
class Change:
    """A change by operators that was accepted."""

    at_ms: int
    revision: int


@dataclasses.dataclass
class Sent:
    """A request as its caller sent it."""

    tag: str
    workspace: str
    sent_ms: int
    runs_before: int


class Oracle:
    """Checks events against the statements."""

    def __init__(self) -> None:
        self.exercised = collections.Counter({one: 0 for one in STATEMENTS})
        self.allowed: dict[str, set[str]] = {}
        self.withdrawn: dict[str, int] = {}
        self.domains_out: dict[str, int] = {}
        self.leaving: dict[str, int] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.session_versions: dict[tuple[str, str], str] = {}
        self.completed: dict[str, str] = {}
        self.accepted: list[Change] = []
        self.revisions: dict[str, int] = {}

    def check(self, statement: str, holds: bool, seen: object) -> None:
        self.exercised[statement] += 1
        if not holds:
            raise ViolationError(f"{statement}: {seen}")

    # Events of operators.

    def change_accepted(self, at_ms: int, revision: int) -> None:
        self.accepted.append(Change(at_ms, revision))

    # Events of upstreams.

    def model_run(
        self, at_ms: int, upstream: str, domain: str, version: str, tag: str
    ) -> None:
        workspace = tag.split("/", maxsplit=1)[0]
        self.check(
            STATEMENTS[0],
            version in self.allowed[workspace],
            (workspace, version),
        )
        if self.withdrawn:
            age_ms = at_ms - self.withdrawn.get(version, at_ms)
            in_time = age_ms <= IN_FORCE_MS
            self.check(STATEMENTS[1], in_time, (version, age_ms))
        self._new_work(at_ms, upstream, domain)
        self.runs[tag] += 1

    def service_run(
        self,
        at_ms: int,
        upstream: str,
        domain: str,
        tag: str,
        idempotent: bool,
    ) -> None:
        self._new_work(at_ms, upstream, domain)
        self.runs[tag] += 1
        if not idempotent:
            self.check(STATEMENTS[8], self.runs[tag] <= 1, tag)

    def _new_work(self, at_ms: int, upstream: str, domain: str) -> None:
        if self.domains_out:
            age_ms = at_ms - self.domains_out.get(domain, at_ms)
            in_time = age_ms <= IN_FORCE_MS
            self.check(STATEMENTS[5], in_time, (domain, age_ms))
        if self.leaving:
            age_ms = at_ms - self.leaving.get(upstream, at_ms)
            in_time = age_ms <= LEAVING_MS
            self.check(STATEMENTS[9], in_time, (upstream, age_ms))

    def run_started(
        self, upstream: str, running: int, concurrency_limit: int
    ) -> None:
        self.check(
            STATEMENTS[4],
            running <= concurrency_limit,
            (upstream, running, concurrency_limit),
        )

    # Events of callers.

    def answered(
        self, tag: str, expected: str, got: str, request_id: str
    ) -> None:
        self.check(STATEMENTS[6], got == expected, (tag, expected, got))
        self.completed[request_id] = tag

    def answered_in_session(
        self, session: str, model: str, version: str
    ) -> None:
        key = (session, model)
        kept = self.session_versions.setdefault(key, version)
        self.check(STATEMENTS[2], kept == version, (session, kept, version))

    def refused(self, tag: str, outcome: str) -> None:
        if outcome == "not_run":
            self.check(STATEMENTS[7], self.runs[tag] == 0, tag)

    # Events of nodes.

    def ended_gracefully(self, node: str, cut: list[str]) -> None:
        self.check(STATEMENTS[10], not cut, (node, cut))

    def node_state(
        self, incarnation: str, at_ms: int, revision: int, takes_work: bool
    ) -> None:
        before = self.revisions.get(incarnation, 0)
        self.check(STATEMENTS[11], revision >= before, (before, revision))
        self.revisions[incarnation] = revision
        due = [
            change.revision
            for change in self.accepted
            if at_ms - change.at_ms > IN_FORCE_MS
        ]
        if due and takes_work:
            seen = (incarnation, revision, max(due))
            self.check(STATEMENTS[11], revision >= max(due), seen)

    def ledger(self, bills: list[str]) -> None:
        """Checks the request ids of all bills after all work has ended."""
        counts = collections.Counter(bills)
        for request_id in self.completed:
            times = counts[request_id]
            seen = (request_id, times)
            self.check(STATEMENTS[3], times == 1, seen)
