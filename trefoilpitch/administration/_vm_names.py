"""Catches mistyped names of VMs, which the rules of changes cannot know."""

from __future__ import annotations

import difflib

from trefoilpitch.administration._changes import ChangeBody, VmBody
from trefoilpitch.configuration import Configuration
from trefoilpitch.membership import MembershipView


def find_unknown_vm(
    body: ChangeBody, view: MembershipView, configuration: Configuration
) -> str:
    """Returns why a VM is not taken out, the empty string if it may be.

    Args:
        body: Any change.
        view: Names the entry VMs, gone ones for a while.
        configuration: Names the upstreams.
    """
    if not isinstance(body, VmBody) or body.in_service or body.allow_unknown:
        return ""
    known = {member.name for member in view.members}
    known.update(_upstream_names(configuration))
    if body.name in known:
        return ""
    message = f"no VM and no upstream called {body.name!r} is known here"
    close = difflib.get_close_matches(body.name, sorted(known), n=1)
    return f"{message}; did you mean {close[0]}?" if close else message


def _upstream_names(configuration: Configuration) -> list[str]:
    if configuration.bundle is None:
        return []
    return [
        upstream.name
        for pool in configuration.bundle.pools
        for upstream in pool.upstreams
    ]
