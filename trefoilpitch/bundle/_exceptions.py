"""What can be wrong with a bundle."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One thing wrong with a bundle."""

    # Where it is, ``workspaces[0].allowed[2]``; empty for the whole bundle.
    place: str
    # What is wrong there.
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}" if self.place else self.message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BundleError:
    """A bundle that was refused, with every fault found in it."""

    # The faults, in the order in which they were found; never empty.
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)
