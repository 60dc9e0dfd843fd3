"""Detects mistyped VM names.

The validation of changes cannot detect them: the configuration does not list
the entry VMs.
"""

from __future__ import annotations

import difflib

from trefoilpitch.administration._changes import ChangeBody, VmBody
from trefoilpitch.configuration import Configuration
from trefoilpitch.membership import MembershipView


def find_unknown_vm(
    body: ChangeBody, view: MembershipView, configuration: Configuration
) -> str:
    """Returns an error message if a change names an unknown VM, else "".

    Args:
        body: Any change; only taking a VM out of service is checked.
        view: Lists the entry VMs, including those that are gone until they
            are removed from the view.
        configuration: Lists the upstreams.
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
