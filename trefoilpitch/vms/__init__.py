"""The platform's list of live and leaving VMs, which may be outdated."""

from trefoilpitch.vms._exceptions import VmListError
from trefoilpitch.vms._http import HttpVmList, http_vm_list
from trefoilpitch.vms._lagging import LaggingVmList
from trefoilpitch.vms._types import Vm, VmList, VmState

__all__ = [
    "HttpVmList",
    "LaggingVmList",
    "Vm",
    "VmList",
    "VmListError",
    "VmState",
    "http_vm_list",
]
