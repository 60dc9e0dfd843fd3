"""What goes over the wire to an upstream."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Mapping

_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PATH = re.compile(r"/[!-~]*")
_VALUE = re.compile(r"[\t -~\x80-\xff]*")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """One request of HTTP."""

    # The method.
    method: str
    # Path and query.
    path: str
    # Header fields.
    headers: Mapping[str, str]
    # The body; None sends none.
    body: bytes | None
    # Monotonic time by which the reply must be whole, in milliseconds.
    deadline_ms: int

    def invalid_reason(self) -> str | None:
        """Returns why this cannot be sent as HTTP, or None if it can."""
        if not _TOKEN.fullmatch(self.method):
            return f"method {self.method!r} is not a token"
        if not _PATH.fullmatch(self.path):
            return f"path {self.path!r} is not an ASCII path"
        for name, value in self.headers.items():
            if not _TOKEN.fullmatch(name):
                return f"header name {name!r} is not a token"
            if not _VALUE.fullmatch(value):
                return f"the value of header {name!r} has other characters"
        return None
