"""Rules for callers, operators and nodes; report their events to the oracle."""

from __future__ import annotations

import collections
import dataclasses
import json
from typing import ClassVar

from hypothesis import note
from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    precondition,
    rule,
)

from trefoilpitch.configuration import SignOffBundle
from trefoilpitch.daemon.tests.stateful.faults import FaultRules
from trefoilpitch.daemon.tests.stateful.fleet import (
    ADMIN_TOKEN,
    DOMAINS,
    MODELS,
    TASKS,
    VERSIONS,
    WORKSPACES,
    SimNode,
    header,
    make_bundle,
    request,
)
from trefoilpitch.daemon.tests.stateful.upstreams import expected_parts
from trefoilpitch.web import Body, Response

_SETTLE_MS = 30_000
_REPROTECT_MS = 5_000
_DOMAIN = st.sampled_from(DOMAINS)
_CALLER = st.tuples(st.sampled_from(WORKSPACES), st.sampled_from(sorted(TASKS)))
# dear@1 is never withdrawn, so that there is always work to check.
_VERSION = st.sampled_from(["cheap@1", "cheap@2", "dear@2"])


@dataclasses.dataclass
class Stream:
    """A streamed response as its caller has received it so far."""

    tag: str
    node: str
    request_id: str
    version: str
    body: Body
    text: str = ""
    last_event_id: str = ""


# Hypothesis derives the derandomized seed from the source of this class without
# its comments, so renames and changed docstrings yield other examples.
class FleetMachine(FaultRules):
    """One fleet under random operations and faults."""

    exercised: ClassVar[collections.Counter[str]] = collections.Counter()

    def __init__(self) -> None:
        super().__init__()
        self.streams: list[Stream] = []
        self.sessions: list[str] = []
        self.keys: list[tuple[str, str]] = []
        self.numbers = 0
        self.bundle_version = 0

    @initialize(
        withdrawn=st.sampled_from(["", "cheap@1", "cheap@2", "dear@2"]),
        out=st.sampled_from(["", "", *DOMAINS]),
        leaving=st.sampled_from(["", "engine-a", "engine-b", "desk-c"]),
    )
    def start(
        self, withdrawn: str = "", out: str = "", leaving: str = ""
    ) -> None:
        """Begins with what operators did in force and a roll-out under way."""
        for name in WORKSPACES:
            self.oracle.allowed[name] = {"cheap@2", "dear@1"}
        self.oracle.allowed["wide"] = {
            f"{model}@{version}" for model in MODELS for version in VERSIONS
        }
        self.fleet.advance(5_000)
        self.sign_off("a")
        assert self.oracle.accepted, "the first bundle was not accepted"
        self.roll("a", "cheap", 0)
        if withdrawn:
            self.withdraw("a", withdrawn)
        if out:
            self.set_domain("a", out, False)
        if leaving:
            self.set_leaving(leaving, True)
        self.fleet.advance(12_000)

    def teardown(self) -> None:
        try:
            self.settle()
        finally:
            for patch in self.patches:
                patch.stop()

    def settle(self) -> None:
        """Ends all faults and judges the ledger."""
        self.heal()
        for node in list(self.fleet.nodes.values()):
            node.is_paused = False
        for stream in list(self.streams):
            self.read(stream, 100)
        for upstream in self.fleet.backends.values():
            upstream.is_up = True
        self.fleet.advance(_SETTLE_MS)
        for node in self.fleet.nodes.values():
            node.core.flush_bills()
        self.oracle.ledger(self.fleet.bills())
        FleetMachine.exercised.update(self.oracle.exercised)

    # Callers.

    @rule(
        domain=_DOMAIN,
        caller=_CALLER,
        stream=st.booleans(),
        session=st.integers(-1, 3),
        key=st.booleans(),
    )
    def ask(
        self,
        domain: str,
        caller: tuple[str, str],
        stream: bool,
        session: int,
        key: bool,
    ) -> None:
        node = self.node(domain, "ask")
        if node is None:
            return
        workspace, task = caller
        tag = self.tag(workspace)
        body = {
            "model": task,
            "stream": stream,
            "messages": [{"role": "user", "content": tag}],
        }
        headers = {}
        is_known = 0 <= session < len(self.sessions) and workspace == "wide"
        if is_known:
            headers["session"] = self.sessions[session]
        if key:
            headers["idempotency_key"] = tag.replace("/", "-")
        response = node.handle(
            request(
                "POST",
                "/v1/chat/completions",
                workspace,
                json.dumps(body).encode(),
                **headers,
            )
        )
        if response.status != 200:
            self.note_refusal(tag, response)
            return
        if workspace == "wide":
            number = session if is_known else len(self.sessions)
            self.note_session(response, number)
        if isinstance(response.body, bytes):
            self.note_whole(tag, response, response.body)
            return
        started = Stream(
            tag=tag,
            node=node.name,
            request_id=header(response.headers, "request-id"),
            version=header(response.headers, "model-version"),
            body=response.body,
        )
        node.streams[tag] = response.body
        self.streams.append(started)

    @rule(caller=_CALLER, session=st.integers(-1, 3))
    def ask_everywhere(self, caller: tuple[str, str], session: int) -> None:
        """A session goes on at every node, whatever happened before."""
        for domain in DOMAINS:
            self.ask(
                domain=domain,
                caller=caller,
                stream=False,
                session=session,
                key=False,
            )

    @precondition(lambda self: self.streams)
    @rule(index=st.integers(0, 9), parts=st.integers(1, 4))
    def read_on(self, index: int, parts: int) -> None:
        self.count("read_on")
        self.read(self.streams[index % len(self.streams)], parts)

    @precondition(lambda self: self.streams)
    @rule(index=st.integers(0, 9))
    def leave(self, index: int) -> None:
        self.count("leave")
        stream = self.streams.pop(index % len(self.streams))
        self.close(stream)

    @precondition(lambda self: self.streams)
    @rule(index=st.integers(0, 9), domain=_DOMAIN)
    def resume_elsewhere(self, index: int, domain: str) -> None:
        node = self.node(domain, "resume_elsewhere")
        stream = self.streams[index % len(self.streams)]
        if node is None:
            return
        if not stream.last_event_id:
            # Only a response that has started can be resumed.
            self.read(stream, 1)
        if not stream.last_event_id or stream not in self.streams:
            return
        self.close(stream)
        self.streams.remove(stream)
        response = node.handle(
            request(
                "POST",
                "/v1/chat/completions",
                stream.tag.split("/")[0],
                last_event_id=stream.last_event_id,
            )
        )
        if response.status != 200:
            self.note_refusal(stream.tag, response)
            return
        assert not isinstance(response.body, bytes)
        stream.body = response.body
        stream.node = node.name
        node.streams[stream.tag] = response.body
        self.streams.append(stream)

    @rule(
        domain=_DOMAIN,
        homed=st.booleans(),
        keyed=st.booleans(),
        meanwhile=st.sampled_from(["", "repeat", "pause", "store"]),
        elsewhere=_DOMAIN,
    )
    def lend(
        self,
        domain: str,
        homed: bool,
        keyed: bool,
        meanwhile: str,
        elsewhere: str,
    ) -> None:
        node = self.node(domain, "lend")
        if node is None:
            return
        tag = self.tag("wide")
        key = tag.replace("/", "-") if keyed else ""
        if keyed and homed:
            key = self.key_prefix(node) + key
        if keyed:
            self.keys.append((tag, key))
        plans = {
            "repeat": lambda: self.send_loan(elsewhere, tag, key),
            "pause": lambda: self.fleet.advance(15_000),
            "store": lambda: node.store.lose_replies(1),
        }
        if meanwhile in plans and (keyed or meanwhile != "repeat"):
            self.fleet.meanwhile = [plans[meanwhile]]
        self.send_loan(domain, tag, key)
        self.fleet.meanwhile = []

    @precondition(lambda self: self.keys)
    @rule(index=st.integers(0, 30), domain=_DOMAIN)
    def repeat_loan(self, index: int, domain: str) -> None:
        self.count("repeat_loan")
        tag, key = self.keys[index % len(self.keys)]
        self.send_loan(domain, tag, key)

    @rule(domain=_DOMAIN)
    def look_up(self, domain: str) -> None:
        node = self.node(domain, "look_up")
        if node is not None:
            path = "/v1/services/loans/look-up"
            node.handle(request("GET", path, "wide"))

    # Operators.

    @rule(domain=_DOMAIN)
    def sign_off(self, domain: str) -> None:
        node = self.node(domain, "sign_off")
        if node is None:
            return
        self.bundle_version += 1
        change = SignOffBundle(
            change_id=f"bundle-{self.bundle_version}",
            author="me",
            bundle=make_bundle(self.bundle_version),
        )
        revision = node.commit(change)
        if revision is not None:
            now_ms = self.fleet.clock.now_ms()
            self.oracle.change_accepted(now_ms, revision)

    @rule(domain=_DOMAIN, version=_VERSION)
    def withdraw(self, domain: str, version: str) -> None:
        at_ms = self.change(domain, {"kind": "withdraw", "version": version})
        if at_ms is not None:
            self.oracle.withdrawn.setdefault(version, at_ms)

    @rule(domain=_DOMAIN, failure_domain=_DOMAIN, in_service=st.booleans())
    def set_domain(
        self, domain: str, failure_domain: str, in_service: bool
    ) -> None:
        if in_service:
            # New work is allowed even if the change is not confirmed.
            self.oracle.domains_out.pop(failure_domain, None)
        body = {
            "kind": "failure-domain",
            "name": failure_domain,
            "in_service": in_service,
        }
        at_ms = self.change(domain, body)
        if at_ms is not None and not in_service:
            self.oracle.domains_out.setdefault(failure_domain, at_ms)

    @rule(domain=_DOMAIN, model=st.sampled_from(MODELS), kind=st.integers(0, 2))
    def roll(self, domain: str, model: str, kind: int) -> None:
        bodies: tuple[dict[str, object], ...] = (
            {"kind": "rollout-start", "version": f"{model}@2"},
            {"kind": "rollout-advance", "model": model, "from_step": 0},
            {"kind": "rollout-back", "model": model},
        )
        self.change(domain, bodies[kind])

    @rule(first=_DOMAIN, second=_DOMAIN, failure_domain=_DOMAIN)
    def race(self, first: str, second: str, failure_domain: str) -> None:
        """Two operators act on the same revision; at most one succeeds."""
        node = self.fleet.live(f"entry-{first}")
        if node is None:
            return
        self.oracle.domains_out.pop(failure_domain, None)
        revision = node.core.current.table().revision
        accepted = []
        for domain, in_service in ((first, False), (second, True)):
            body = {
                "kind": "failure-domain",
                "name": failure_domain,
                "in_service": in_service,
                "expected_revision": revision,
            }
            if self.change(domain, body) is not None:
                accepted.append(domain)
        assert len(accepted) <= 1, accepted

    # Nodes that end.

    @rule(domain=_DOMAIN)
    def crash_and_replace(self, domain: str) -> None:
        self.count("crash_and_replace")
        node = self.fleet.nodes[f"entry-{domain}"]
        for stream in [one for one in self.streams if one.node == node.name]:
            # The connection breaks; the engine holds the response.
            stream.node = ""
            if not stream.last_event_id:
                self.streams.remove(stream)
        node.crash()
        self.fleet.replace(domain)
        # The fault model excludes the loss of a bill's home and of its holder
        # before a new holder has the copies: see INVARIANTS.md.
        self.fleet.advance(_REPROTECT_MS)

    @rule(domain=_DOMAIN)
    def shut_down(self, domain: str) -> None:
        self.count("shut_down")
        node = self.fleet.nodes[f"entry-{domain}"]
        node.core.draining.begin()
        self.fleet.advance(12_000)
        own = [one for one in self.streams if one.node == node.name]
        cut = [one.tag for one in own] if node.core.draining.may_close() else []
        self.oracle.ended_gracefully(node.name, cut)
        for stream in own:
            self.read(stream, 100)
        assert node.core.draining.may_close(), "an idle node does not end"
        is_flushed = node.depart()
        self.fleet.replace(domain)
        if not is_flushed:
            # The holder must not fail before it has adopted the bills.
            self.fleet.advance(_REPROTECT_MS)

    @rule(step_ms=st.sampled_from([50, 300, 2_000, 10_000]))
    def wait(self, step_ms: int) -> None:
        self.count("wait")
        self.fleet.advance(step_ms)

    # Helpers.

    def tag(self, workspace: str) -> str:
        self.numbers += 1
        return f"{workspace}/{self.numbers}"

    def key_prefix(self, node: SimNode) -> str:
        response = node.handle(request("GET", "/v1/entries", ""))
        if response.status != 200:
            return ""
        assert isinstance(response.body, bytes)
        return str(json.loads(response.body)["key_prefix"])

    def send_loan(self, domain: str, tag: str, key: str) -> None:
        node = self.fleet.live(f"entry-{domain}")
        if node is None:
            return
        headers = {"idempotency_key": key} if key else {}
        response = node.handle(
            request(
                "POST",
                "/v1/services/loans/lend",
                "wide",
                json.dumps({"tag": tag}).encode(),
                **headers,
            )
        )
        if response.status != 200:
            self.note_refusal(tag, response)
            return
        assert isinstance(response.body, bytes)
        request_id = header(response.headers, "request-id")
        got = response.body.decode()
        self.oracle.answered(tag, f"done {tag}", got, request_id)

    def change(self, domain: str, body: dict[str, object]) -> int | None:
        """Returns when a change was accepted, None if it was not."""
        node = self.fleet.live(f"entry-{domain}")
        if node is None:
            return None
        self.count(str(body["kind"]))
        self.numbers += 1
        full = {"change_id": f"c{self.numbers}", "author": "me", **body}
        data = json.dumps(full).encode()
        sent = request("POST", "/v1/changes", ADMIN_TOKEN, data)
        response = node.admin.handle(sent)
        assert isinstance(response.body, bytes)
        if response.status != 200:
            note(f"change refused: {response.body.decode()}")
            return None
        reply = json.loads(response.body)
        if not reply["is_confirmed"]:
            return None
        now_ms = self.fleet.clock.now_ms()
        self.oracle.change_accepted(now_ms, reply["revision"])
        return now_ms

    def note_refusal(self, tag: str, response: Response) -> None:
        assert isinstance(response.body, bytes)
        problem = json.loads(response.body)
        note(f"{tag}: {problem['code']} {problem['outcome']}")
        self.oracle.refused(tag, problem["outcome"])

    def note_session(self, response: Response, number: int) -> None:
        version = header(response.headers, "model-version")
        model = version.partition("@")[0]
        self.oracle.answered_in_session(f"session {number}", model, version)
        # Callers send the latest token of the session.
        self.sessions[number:] = [
            header(response.headers, "session"),
            *self.sessions[number + 1 :],
        ]

    def note_whole(self, tag: str, response: Response, body: bytes) -> None:
        version = header(response.headers, "model-version")
        got = json.loads(body)["choices"][0]["message"]["content"]
        expected = "".join(expected_parts(tag, version))
        request_id = header(response.headers, "request-id")
        self.oracle.answered(tag, expected, got, request_id)

    def read(self, stream: Stream, parts: int) -> None:
        if stream.node not in self.fleet.nodes:
            return
        for _ in range(parts):
            data = next(stream.body, None)
            if data is None or b"[DONE]" in data or b"event: error" in data:
                self.finish(stream, data)
                return
            event = dict(
                line.split(": ", 1)
                for line in data.decode().strip().splitlines()
            )
            chunk = json.loads(event["data"])
            stream.text += chunk["choices"][0]["delta"]["content"]
            stream.last_event_id = event["id"]

    def finish(self, stream: Stream, data: bytes | None) -> None:
        self.streams.remove(stream)
        self.close(stream)
        if data is not None and b"[DONE]" in data:
            expected = "".join(expected_parts(stream.tag, stream.version))
            self.oracle.answered(
                stream.tag, expected, stream.text, stream.request_id
            )

    def close(self, stream: Stream) -> None:
        node = self.fleet.nodes.get(stream.node)
        if node is not None and stream.tag in node.streams:
            stream.body.close()
            del node.streams[stream.tag]
