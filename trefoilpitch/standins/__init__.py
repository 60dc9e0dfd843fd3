"""Small HTTP servers that take the platform's place in tests and demos."""

from trefoilpitch.standins._kv import KvServer, kv_server
from trefoilpitch.standins._vm_list import VmListServer, vm_list_server

__all__ = ["KvServer", "VmListServer", "kv_server", "vm_list_server"]
