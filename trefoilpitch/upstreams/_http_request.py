"""HTTP requests to upstreams."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Mapping

_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PATH = re.compile(r"/[!-~]*")
_VALUE = re.compile(r"[\t -~\x80-\xff]*")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """One HTTP request."""

    method: str
    # Path and query, starting with a slash.
    path: str
    headers: Mapping[str, str]
    # The body; None sends none.
    body: bytes | None
    # Monotonic time by which the response must be complete, in milliseconds.
    deadline_ms: int

    def invalid_reason(self) -> str | None:
        """Returns why this is not valid HTTP/1.1, or None if it is."""
        if not _TOKEN.fullmatch(self.method):
            return f"HTTP method {self.method!r} is not a token"
        if not _PATH.fullmatch(self.path):
            return f"path {self.path!r} is not printable ASCII after a slash"
        for name, value in self.headers.items():
            if not _TOKEN.fullmatch(name):
                return f"header name {name!r} is not a token"
            if not _VALUE.fullmatch(value):
                return f"the value of header {name!r} has invalid characters"
        return None
