"""Reasons why a request cannot be routed; none of them has run anything."""

from __future__ import annotations

from trefoilpitch.bundle import VersionRef


class RoutingError(Exception):
    """A request has no place to run; it has not run."""


class TargetNotAllowedError(RoutingError):
    """The workspace may not use the task, service or operation."""

    def __init__(self, workspace: str, target: str) -> None:
        super().__init__(f"workspace {workspace!r} may not use {target!r}")
        self.workspace = workspace
        self.target = target


class PinnedVersionWithdrawnError(RoutingError):
    """The session's version gets no new work; a new session is needed."""

    def __init__(self, version: VersionRef) -> None:
        super().__init__(f"version {version} of the session is not available")
        self.version = version


class NoEligibleVersionError(RoutingError):
    """Every version that the task could use is withdrawn or forbidden."""

    def __init__(self, workspace: str, task: str) -> None:
        super().__init__(f"no version serves {task!r} for {workspace!r}")
        self.workspace = workspace
        self.task = task


class NoEligibleUpstreamError(RoutingError):
    """Every upstream of the target is out, leaving or gone."""

    def __init__(self, target: str) -> None:
        super().__init__(f"no upstream is in service for {target}")
        self.target = target


class UpstreamsFullError(RoutingError):
    """Upstreams are in service, but none of them has room now."""

    def __init__(self, target: str) -> None:
        super().__init__(f"every upstream for {target} is at its limit")
        self.target = target
