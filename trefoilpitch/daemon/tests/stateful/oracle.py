"""A plain model of what must always hold; it shares no code with the product.

The harness tells the oracle facts as they happen: what operators did, what
upstreams were made to run, what callers sent and got. Each statement is one
method that raises ``ViolationError``; ``exercised`` counts how often each of
them had something to judge. Times are in milliseconds.
"""

import collections
import dataclasses

# A change is in force everywhere within this time (letter 1).
IN_FORCE_MS = 9_000
# Work for a VM that is leaving stops within the same time.
LEAVING_MS = 9_000

STATEMENTS = (
    "allowed versions only",
    "withdrawn version gets no new work",
    "session keeps its version",
    "billed once",
    "cold upstream is not overfed",
    "failure domain taken out gets no new work",
    "whole answer to its own request",
    "not run is true",
    "at most once",
    "leaving upstream gets no new work",
    "graceful shutdown cuts no request",
    "configuration in force and never reverts",
)


class ViolationError(AssertionError):
    """A statement does not hold."""


@dataclasses.dataclass
class Change:
    """An accepted change of the operators."""

    at_ms: int
    revision: int


@dataclasses.dataclass
class Sent:
    """A request as its caller knows it."""

    tag: str
    workspace: str
    sent_ms: int
    runs_before: int


class Oracle:
    """Judges facts against the statements."""

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

    def judge(self, statement: str, holds: bool, seen: object) -> None:
        self.exercised[statement] += 1
        if not holds:
            raise ViolationError(f"{statement}: {seen}")

    # Facts about operators.

    def change_accepted(self, at_ms: int, revision: int) -> None:
        self.accepted.append(Change(at_ms, revision))

    # Facts about upstreams.

    def model_run(
        self, at_ms: int, upstream: str, domain: str, version: str, tag: str
    ) -> None:
        workspace = tag.split("/", maxsplit=1)[0]
        self.judge(
            STATEMENTS[0],
            version in self.allowed[workspace],
            (workspace, version),
        )
        if self.withdrawn:
            age_ms = at_ms - self.withdrawn.get(version, at_ms)
            in_time = age_ms <= IN_FORCE_MS
            self.judge(STATEMENTS[1], in_time, (version, age_ms))
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
            self.judge(STATEMENTS[8], self.runs[tag] <= 1, tag)

    def _new_work(self, at_ms: int, upstream: str, domain: str) -> None:
        if self.domains_out:
            age_ms = at_ms - self.domains_out.get(domain, at_ms)
            in_time = age_ms <= IN_FORCE_MS
            self.judge(STATEMENTS[5], in_time, (domain, age_ms))
        if self.leaving:
            age_ms = at_ms - self.leaving.get(upstream, at_ms)
            in_time = age_ms <= LEAVING_MS
            self.judge(STATEMENTS[9], in_time, (upstream, age_ms))

    def load(self, upstream: str, running: int, bears: int) -> None:
        self.judge(STATEMENTS[4], running <= bears, (upstream, running, bears))

    # Facts about callers.

    def answered(
        self, tag: str, expected: str, got: str, request_id: str
    ) -> None:
        self.judge(STATEMENTS[6], got == expected, (tag, expected, got))
        self.completed[request_id] = tag

    def answered_in_session(
        self, session: str, model: str, version: str
    ) -> None:
        key = (session, model)
        kept = self.session_versions.setdefault(key, version)
        self.judge(STATEMENTS[2], kept == version, (session, kept, version))

    def refused(self, tag: str, outcome: str) -> None:
        if outcome == "not_run":
            self.judge(STATEMENTS[7], self.runs[tag] == 0, tag)

    # Facts about nodes.

    def ended_gracefully(self, node: str, cut: list[str]) -> None:
        self.judge(STATEMENTS[10], not cut, (node, cut))

    def node_state(
        self, incarnation: str, at_ms: int, revision: int, takes_work: bool
    ) -> None:
        before = self.revisions.get(incarnation, 0)
        self.judge(STATEMENTS[11], revision >= before, (before, revision))
        self.revisions[incarnation] = revision
        due = [
            change.revision
            for change in self.accepted
            if at_ms - change.at_ms > IN_FORCE_MS
        ]
        if due and takes_work:
            seen = (incarnation, revision, max(due))
            self.judge(STATEMENTS[11], revision >= max(due), seen)

    def ledger(self, bills: list[str]) -> None:
        """Judges the identifiers of all bills, once the fleet is quiet."""
        counts = collections.Counter(bills)
        for request_id in self.completed:
            times = counts[request_id]
            seen = (request_id, times)
            self.judge(STATEMENTS[3], times == 1, seen)
