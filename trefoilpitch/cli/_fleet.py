"""The ``trefoilpitch domain`` and ``trefoilpitch vm`` commands."""

from __future__ import annotations

from trefoilpitch.administration import FailureDomainBody, VmBody
from trefoilpitch.cli._change import change_header, send_change
from trefoilpitch.cli._context import Context
from trefoilpitch.cli._exceptions import ExitStatus


def domain_out(context: Context) -> ExitStatus:
    """Takes a failure domain out of service."""
    return _set_domain(context, in_service=False)


def domain_in(context: Context) -> ExitStatus:
    """Returns a failure domain to service."""
    return _set_domain(context, in_service=True)


def vm_out(context: Context) -> ExitStatus:
    """Takes an entry VM or an upstream out of service."""
    return _set_vm(context, in_service=False)


def vm_in(context: Context) -> ExitStatus:
    """Returns an entry VM or an upstream to service."""
    return _set_vm(context, in_service=True)


def _set_domain(context: Context, *, in_service: bool) -> ExitStatus:
    name = context.arguments[0]
    body = FailureDomainBody(
        name=name, in_service=in_service, **change_header(context).fields()
    )
    summary = f"failure domain {name} {_direction(in_service)}"
    return send_change(context, body, summary)


def _set_vm(context: Context, *, in_service: bool) -> ExitStatus:
    name = context.arguments[0]
    body = VmBody(
        name=name,
        in_service=in_service,
        allow_unknown=context.settings.allow_unknown,
        **change_header(context).fields(),
    )
    return send_change(context, body, f"VM {name} {_direction(in_service)}")


def _direction(in_service: bool) -> str:
    return "in" if in_service else "out"
