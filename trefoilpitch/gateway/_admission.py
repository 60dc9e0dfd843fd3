"""Whether a request may run at all, by the newest configuration."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.fleet import Configuration, Route, Workspace
from trefoilpitch.gateway._messages import CallerRequest


class Rejection(enum.Enum):
    """Why a request does not run; the value is its HTTP status."""

    # This daemon does not know enough to say yes or no.
    UNKNOWN_CONFIGURATION = 503
    # No workspace has the key.
    UNKNOWN_KEY = 401
    # No route fits the host and path.
    UNKNOWN_ROUTE = 404
    # The route leaves the choice of the model to the router.
    MODEL_NOT_ALLOWED = 421


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A request that may run."""

    # The version of the configuration that says so.
    configuration_version: int
    # How it is routed.
    route: Route
    # The workspace that it belongs to; None on a public route.
    workspace: str | None
    # Its rank; 0 is the most urgent.
    priority: int


def admit(
    request: CallerRequest,
    configuration: Configuration | None,
    *,
    current: bool,
) -> Admitted | Rejection:
    """Decides whether a request may run.

    A daemon that may have missed a configuration can't tell an unknown key or
    route from a new one, so it says that it does not know.

    Args:
        request: The request.
        configuration: The newest configuration; None if there is none yet.
        current: Whether no newer configuration can have been missed.
    """
    if configuration is None:
        return Rejection.UNKNOWN_CONFIGURATION
    route = configuration.match(request.host, request.path)
    if route is None:
        return (
            Rejection.UNKNOWN_ROUTE
            if current
            else Rejection.UNKNOWN_CONFIGURATION
        )
    keys = configuration.workspaces_by_key
    workspace: Workspace | None = None
    if keys is not None and not route.public:
        workspace = keys.get(request.api_key or "")
        if workspace is None:
            may_be_new = not current and bool(request.api_key)
            return (
                Rejection.UNKNOWN_CONFIGURATION
                if may_be_new
                else Rejection.UNKNOWN_KEY
            )
    if route.model_tiers and not request.any_model:
        return Rejection.MODEL_NOT_ALLOWED
    return Admitted(
        configuration_version=configuration.version,
        route=route,
        workspace=workspace.name if workspace else None,
        priority=_priority(route, workspace),
    )


def _priority(route: Route, workspace: Workspace | None) -> int:
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority
