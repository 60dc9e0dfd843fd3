"""Small HTTP servers that take the platform's place in tests and demos."""

from trefoilpitch.standins._kv import KvServer, kv_server

__all__ = ["KvServer", "kv_server"]
