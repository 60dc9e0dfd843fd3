"""Identifies the clients of requests whose body has not arrived."""

from __future__ import annotations

from trefoilpitch.fleet import FleetView
from trefoilpitch.gateway._exceptions import BadRequestError, ExchangeError
from trefoilpitch.gateway._http_client import Headers
from trefoilpitch.gateway._http_server import HttpRequest
from trefoilpitch.gateway._messages import CallerRequest, RequestCodec
from trefoilpitch.gateway._relay_messages import failure_headers
from trefoilpitch.retries import FailureKind


class ClientIdentity:
    """Reads what is needed to refuse a request from its head.

    Args:
        codec: Decodes requests.
        view: Local copy of the shared fleet state.
    """

    def __init__(self, codec: RequestCodec, view: FleetView) -> None:
        self._codec = codec
        self._view = view

    def workspace(self, head: HttpRequest) -> str | None:
        """Returns the workspace of a request; None if it is unknown."""
        request = self._decode(head)
        configuration = self._view.configuration
        if request is None or configuration is None:
            return None
        keys = configuration.workspaces_by_key or {}
        workspace = keys.get(request.api_key or "")
        return workspace.name if workspace else None

    def refusal_headers(self, head: HttpRequest) -> Headers:
        """Returns the headers with which a caller's request is refused."""
        request = self._decode(head)
        return self._codec.encode_refusal(
            request.request_id if request else None, None
        )

    def relay_refusal_headers(self, head: HttpRequest) -> Headers:
        """Returns the headers with which a peer's request is refused."""
        return failure_headers(
            ExchangeError(FailureKind.NOT_SENT, "no memory for the request")
        )

    def _decode(self, head: HttpRequest) -> CallerRequest | None:
        try:
            return self._codec.decode_request(head)
        except BadRequestError:
            return None
