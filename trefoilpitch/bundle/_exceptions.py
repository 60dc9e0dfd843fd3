"""Errors of bundles."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A validation error at one place of a bundle."""

    # Path, such as ``workspaces[0].allowed[2]``; empty for the whole bundle.
    place: str
    # Description for operators.
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}" if self.place else self.message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BundleError:
    """A bundle was rejected; lists every fault found in it."""

    # Never empty; in the order in which they were found.
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)
