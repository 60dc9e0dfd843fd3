"""Admission of requests against the latest known configuration."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.fleet import Configuration, Route, Workspace
from trefoilpitch.gateway._messages import CallerRequest


class Rejection(enum.Enum):
    """Why a request is rejected; the value is the HTTP status."""

    # This daemon may lack the configuration that would decide.
    UNKNOWN_CONFIGURATION = 503
    # No workspace has the API key.
    UNKNOWN_KEY = 401
    # No route matches the host and path.
    UNKNOWN_ROUTE = 404
    # The router selects the model on this route; callers cannot name one.
    MODEL_NOT_ALLOWED = 421


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The result for a request that may run."""

    # Version of the configuration that the decision is based on.
    configuration_version: int
    route: Route
    # The workspace that the API key belongs to; None on a public route, or if
    # the configuration has no keys.
    workspace: str | None
    # 0 is the most urgent.
    priority: int


def admit(
    request: CallerRequest,
    configuration: Configuration | None,
    *,
    current: bool,
) -> Admitted | Rejection:
    """Decides whether a request may run.

    A daemon that may have missed a configuration cannot distinguish an unknown
    key or route from a new one. It rejects these with 503 instead of 401 or
    404, so that the caller retries.

    Args:
        request: The request.
        configuration: The latest known configuration; None if there is none.
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
