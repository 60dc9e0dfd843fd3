"""HTTP connections to etcd's gateway, with timeouts and without retries."""

from __future__ import annotations

import urllib3
from returns.result import Failure, Result, Success

from trefoilpitch.store._etcd_responses import error_from_response
from trefoilpitch.store._exceptions import (
    OutcomeUnknownError,
    StoreError,
    UnavailableError,
)

_MS_PER_S = 1_000
_HTTP_OK = 200
_JSON_HEADERS = {"Content-Type": "application/json"}
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class GatewayConnectionPool:
    """A bounded pool of connections to one gateway.

    Args:
        host: The gateway's IP address.
        port: The gateway's port.
        connect_timeout_ms: Time to open a connection, or to wait for a free
            one.
        read_timeout_ms: Time to wait for the next bytes of a response.
        idle_timeout_ms: Time to wait for the next bytes of a stream once its
            headers have arrived.
        size: The most open connections.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connect_timeout_ms: int,
        read_timeout_ms: int,
        idle_timeout_ms: int,
        size: int,
    ) -> None:
        self._idle_timeout_s = idle_timeout_ms / _MS_PER_S
        self._connect_timeout_s = connect_timeout_ms / _MS_PER_S
        self._pool = urllib3.HTTPConnectionPool(
            host,
            port,
            maxsize=size,
            block=True,
            retries=False,
            timeout=urllib3.Timeout(
                connect=self._connect_timeout_s,
                read=read_timeout_ms / _MS_PER_S,
            ),
        )

    def post(self, path: str, body: bytes) -> Result[bytes, StoreError]:
        """Sends a request and reads its whole response."""
        return self._send(path, body, preload_content=True).map(
            lambda response: response.data
        )

    def open_stream(
        self, path: str, body: bytes
    ) -> Result[urllib3.BaseHTTPResponse, StoreError]:
        """Sends a request; the caller reads the body of the response."""
        opened = self._send(path, body, preload_content=False)
        if isinstance(opened, Success):
            connection = opened.unwrap().connection
            if isinstance(connection, urllib3.connection.HTTPConnection):
                connection.sock.settimeout(self._idle_timeout_s)
        return opened

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def _send(
        self, path: str, body: bytes, *, preload_content: bool
    ) -> Result[urllib3.BaseHTTPResponse, StoreError]:
        try:
            response = self._pool.urlopen(
                "POST",
                path,
                body=body,
                headers=_JSON_HEADERS,
                retries=False,
                redirect=False,
                # urllib3 accepts fractions, although it is annotated as int.
                pool_timeout=self._connect_timeout_s,  # type: ignore[arg-type]
                preload_content=preload_content,
            )
            if response.status == _HTTP_OK:
                return Success(response)
            return Failure(error_from_response(response.status, response.data))
        except _NOT_SENT_ERRORS as error:
            return Failure(UnavailableError(detail=str(error)))
        except urllib3.exceptions.HTTPError as error:
            return Failure(OutcomeUnknownError(detail=str(error)))
