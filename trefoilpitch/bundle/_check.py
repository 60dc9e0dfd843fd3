"""Semantic validation of a bundle as a whole."""

from __future__ import annotations

from collections.abc import Iterator

from trefoilpitch.bundle._check_access import check_rollouts, check_workspaces
from trefoilpitch.bundle._check_serving import (
    check_models,
    check_pools,
    check_services,
    check_tasks,
)
from trefoilpitch.bundle._exceptions import Fault
from trefoilpitch.bundle._known_names import collect_names
from trefoilpitch.bundle._rules import (
    check_name,
    check_names,
    check_range,
    fault,
)
from trefoilpitch.bundle._schema import Bundle

_MAX_VERSION = 2**53


def check_bundle(bundle: Bundle) -> tuple[Fault, ...]:
    """Returns every invalid value and reference of a bundle."""
    known = collect_names(bundle)
    return (
        *_check_header(bundle),
        *check_models(bundle),
        *check_pools(bundle, known),
        *check_tasks(bundle, known),
        *check_services(bundle, known),
        *check_workspaces(bundle, known),
        *check_rollouts(bundle, known),
    )


def _check_header(bundle: Bundle) -> Iterator[Fault]:
    yield from check_name("name", bundle.name)
    yield from check_range("version", bundle.version, 1, _MAX_VERSION)
    if not bundle.failure_domains:
        yield fault("failure_domains", "is empty")
    yield from check_names(
        "failure_domains", bundle.failure_domains, attribute=""
    )
