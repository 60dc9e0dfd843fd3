"""The entries and the interface of the platform's VM list."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from returns.result import Result

from trefoilpitch.vms._exceptions import VmListError


class VmState(enum.Enum):
    """The life-cycle state of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """An entry of the VM list."""

    # Unique in the list.
    name: str
    # IP address and port, such as ``127.0.0.1:9000``.
    address: str
    # The name of the failure domain that it runs in.
    failure_domain: str
    state: VmState = VmState.LIVE


class VmList(Protocol):
    """Reads the VM list, which may lag behind the actual VMs."""

    def read(self) -> Result[tuple[Vm, ...], VmListError]:
        """Reads the VMs, in the order of the list."""
