"""VMs as the platform lists them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

from trefoilpitch.vms._exceptions import VmListError


class VmState(enum.Enum):
    """Whether a VM stays."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """One VM of the list."""

    # The VM's name, unique in the list.
    name: str
    # IP number and port, ``127.0.0.1:9000``.
    address: str
    # The failure domain that it runs in.
    failure_domain: str
    # Whether it stays.
    state: VmState = VmState.LIVE


class VmList(Protocol):
    """Reads the list; a VM may have come or gone some time ago."""

    def read(self) -> Result[tuple[Vm, ...], VmListError]:
        """Returns the VMs of the list, in the list's order."""
