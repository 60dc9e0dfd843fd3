"""Balance and stability of the subsets of a pool that the nodes track."""

from __future__ import annotations

import collections
import dataclasses
import statistics

from trefoilpitch.bundle import Upstream
from trefoilpitch.routing import followed_upstreams, subset_size

_DOMAINS = 9
_SIZES = ((6, 6), (9, 12), (390, 128), (390, 900))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubsetFigures:
    """Coverage of one pool by the subsets of all nodes."""

    # Number of nodes.
    nodes: int
    # Number of upstreams in the pool.
    upstreams: int
    # Number of upstreams that a node tracks.
    size: int
    # Nodes that track an upstream: minimum, mean, maximum, standard deviation.
    least: int
    mean: float
    most: int
    deviation: float
    # Smallest number of failure domains in a subset.
    least_domains: int
    # Percentage of all subset members that change when one upstream is removed.
    moved_percent: float


def measure(seed: int) -> list[SubsetFigures]:
    """Counts the nodes that track each upstream; the seed names the nodes."""
    return [_measure(seed, *sizes) for sizes in _SIZES]


def _measure(seed: int, nodes: int, upstreams: int) -> SubsetFigures:
    members = tuple(
        Upstream(
            name=f"engine-{index}",
            address=f"10.0.{index // 250}.{index % 250}:9000",
            failure_domain=f"domain-{index % _DOMAINS}",
            capacity=16,
        )
        for index in range(upstreams)
    )
    size = min(subset_size(upstreams, nodes), upstreams)
    tracking_nodes: collections.Counter[str] = collections.Counter()
    least_domains = _DOMAINS
    moved = tracked = 0
    for number in range(nodes):
        node = f"node-{seed}-{number}"
        before = followed_upstreams(node, members, size)
        after = followed_upstreams(node, members[1:], size)
        tracking_nodes.update(upstream.name for upstream in before)
        domains = {upstream.failure_domain for upstream in before}
        least_domains = min(least_domains, len(domains))
        moved += len(set(before) - set(after))
        tracked += len(before)
    counts = [tracking_nodes[upstream.name] for upstream in members]
    return SubsetFigures(
        nodes=nodes,
        upstreams=upstreams,
        size=size,
        least=min(counts),
        mean=round(statistics.fmean(counts), 1),
        most=max(counts),
        deviation=round(statistics.pstdev(counts), 2),
        least_domains=least_domains,
        moved_percent=round(100.0 * moved / tracked, 2),
    )
