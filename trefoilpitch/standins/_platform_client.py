"""Sends requests as the platform's clients do."""

from __future__ import annotations

from trefoilpitch.gateway import HttpConnection


def send(
    connection: HttpConnection,
    target: str,
    *,
    request_id: str = "id-1",
    body: bytes = b"",
    method: str = "POST",
    **headers: str,
) -> None:
    """Sends a request with the headers of the platform's clients.

    Args:
        connection: Where to send it.
        target: The request target.
        request_id: ID of the request attempt.
        body: The body.
        method: The HTTP method.
        **headers: Further headers, or replacements, with underscores for
            hyphens; an empty value omits the header.
    """
    values = {
        "Host": "api.example",
        "X-Trefoilpitch-Request-Attempt-Id": request_id,
        "X-Trefoilpitch-Deadline-Ms": "8000",
        "Api-Key": "key-a",
        "Content-Length": str(len(body)),
    }
    values |= {name.replace("_", "-"): text for name, text in headers.items()}
    wire = [(n.encode(), text.encode()) for n, text in values.items() if text]
    connection.send(method.encode(), target.encode(), wire, body)
