"""Rules that inject faults into upstreams, the store, the network and nodes."""

from __future__ import annotations

import collections
import random
from typing import ClassVar
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from trefoilpitch.daemon.tests.stateful.fleet import DOMAINS, Fleet, SimNode
from trefoilpitch.peering import Link, LinkFaults

_DOMAIN = st.sampled_from(DOMAINS)
_ENGINE = st.sampled_from([f"engine-{domain}" for domain in DOMAINS])
_DESK = st.sampled_from([f"desk-{domain}" for domain in DOMAINS])
_BACKEND = st.one_of(_ENGINE, _DESK)


class FaultRules(RuleBasedStateMachine):
    """A simulated fleet with rules that inject faults."""

    rule_counts: ClassVar[collections.Counter[str]] = collections.Counter()

    def __init__(self) -> None:
        super().__init__()
        # Makes runs reproducible: generated names and tokens are seeded.
        names = random.Random(1)
        self.patches = (
            mock.patch("secrets.token_hex", lambda n: names.randbytes(n).hex()),
            mock.patch(
                "secrets.token_urlsafe", lambda n: names.randbytes(n).hex()
            ),
        )
        for patch in self.patches:
            patch.start()
        self.fleet = Fleet(seed=1)
        self.oracle = self.fleet.oracle

    def count(self, name: str) -> None:
        FaultRules.rule_counts[name] += 1

    def node(self, domain: str, rule_name: str) -> SimNode | None:
        node = self.fleet.live(f"entry-{domain}")
        if node is not None:
            self.count(rule_name)
        return node

    # Upstreams.

    @rule(name=_BACKEND)
    def restart_cold(self, name: str) -> None:
        """The upstream is unavailable for the duration of a restart."""
        self.count("restart_cold")
        backend = self.fleet.backends[name]
        backend.is_up = False
        backend.restart()
        self.fleet.advance(6_000)
        backend.is_up = True

    @rule(name=_BACKEND, leaving=st.booleans())
    def set_leaving(self, name: str, leaving: bool) -> None:
        self.count("set_leaving")
        backend = self.fleet.backends[name]
        backend.is_leaving = False
        if leaving:
            now_ms = self.fleet.clock.now_ms()
            backend.is_leaving = True
            self.oracle.leaving.setdefault(name, now_ms)
        else:
            self.oracle.leaving.pop(name, None)

    @rule(name=_BACKEND, fault=st.integers(0, 3), after=st.integers(0, 2))
    def plan_fault(self, name: str, fault: int, after: int) -> None:
        self.count("plan_fault")
        backend = self.fleet.backends[name]
        backend.cut_after = after if fault == 0 else None
        backend.lose_reply = fault == 1
        backend.refuse_next = fault == 2
        backend.mismatch_next = fault == 3

    # The store, the network and the nodes.

    @rule(fault=st.integers(0, 5), domain=_DOMAIN)
    def store_fault(self, fault: int, domain: str) -> None:
        self.count("store_fault")
        store = self.fleet.store
        node = self.fleet.nodes[f"entry-{domain}"]
        if fault == 0:
            for one in self.fleet.nodes.values():
                one.store.set_down(True)
        elif fault == 1:
            node.store.lose_replies(2)
        elif fault == 2:
            node.store.set_read_lag(2)
        elif fault == 3:
            node.store.cut_watches()
        elif fault == 4:
            store.lapse_leases()
        else:
            node.store.redeliver(3)

    @rule(source=_DOMAIN, sink=_DOMAIN, lossy=st.booleans())
    def cut_link(self, source: str, sink: str, lossy: bool) -> None:
        self.count("cut_link")
        faults = LinkFaults(drop=0.3, duplicate=0.2, max_delay_ms=400)
        if not lossy:
            faults = LinkFaults(cut=True)
        link = Link(f"peer-{source}", f"peer-{sink}")
        self.fleet.network.set_faults(link, faults)

    @rule()
    def heal(self) -> None:
        self.count("heal")
        for source in DOMAINS:
            for target in DOMAINS:
                link = Link(f"peer-{source}", f"peer-{target}")
                self.fleet.network.set_faults(link, LinkFaults())
        for node in self.fleet.nodes.values():
            node.store.set_down(False)
            node.store.set_read_lag(0)

    @rule(domain=_DOMAIN, pause_ms=st.sampled_from([500, 3_000, 15_000]))
    def freeze(self, domain: str, pause_ms: int) -> None:
        node = self.node(domain, "freeze")
        if node is None:
            return
        node.is_paused = True
        self.fleet.advance(pause_ms)
        node.is_paused = False
