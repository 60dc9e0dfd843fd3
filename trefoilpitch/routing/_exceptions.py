"""Errors for requests that cannot be routed; none of them was sent."""

from __future__ import annotations

from trefoilpitch.bundle import VersionRef


class RoutingError(Exception):
    """A request cannot be routed; it was not sent to any upstream."""


class TargetNotAllowedError(RoutingError):
    """The workspace may not use the task, service or operation."""

    def __init__(self, workspace: str, target: str) -> None:
        super().__init__(f"workspace {workspace!r} may not use {target!r}")
        self.workspace = workspace
        self.target = target


class PinnedVersionWithdrawnError(RoutingError):
    """The session is pinned to a version that the workspace cannot use now.

    The caller has to start a new session.
    """

    def __init__(self, version: VersionRef) -> None:
        super().__init__(f"version {version} of the session is not available")
        self.version = version


class NoEligibleVersionError(RoutingError):
    """Every version in the task's cascade is withdrawn or not allowed."""

    def __init__(self, workspace: str, task: str) -> None:
        super().__init__(f"no version serves {task!r} for {workspace!r}")
        self.workspace = workspace
        self.task = task


class NoEligibleUpstreamError(RoutingError):
    """No upstream of the target may take new work.

    Each one is out of service, leaving, not followed by this node, or has not
    loaded the version.
    """

    def __init__(self, target: str) -> None:
        super().__init__(f"no upstream is in service for {target}")
        self.target = target


class UpstreamsFullError(RoutingError):
    """Upstreams are in service, but none has a free slot now."""

    def __init__(self, target: str) -> None:
        super().__init__(f"every upstream for {target} is at its limit")
        self.target = target
