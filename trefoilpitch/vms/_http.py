"""Reads the VM list over HTTP."""

from __future__ import annotations

from types import TracebackType
from typing import Self

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from trefoilpitch.vms._exceptions import VmListError
from trefoilpitch.vms._types import Vm

_MS_PER_S = 1_000
_HTTP_OK = 200
_PATH = "/v1/vms"
_DEFAULT_TIMEOUT_MS = 2_000


class HttpVmList:
    """A client of the platform's VM list; a context manager.

    Reads are never retried.

    Args:
        pool: Connections to the list's server.
    """

    def __init__(self, pool: urllib3.HTTPConnectionPool) -> None:
        self._pool = pool

    def read(self) -> Result[tuple[Vm, ...], VmListError]:
        """Reads the VMs, in the order of the list."""
        try:
            response = self._pool.request("GET", _PATH, redirect=False)
        except urllib3.exceptions.HTTPError as error:
            return Failure(VmListError(detail=str(error)))
        if response.status != _HTTP_OK:
            return Failure(VmListError(detail=f"HTTP {response.status}"))
        try:
            vms = msgspec.json.decode(response.data, type=tuple[Vm, ...])
        except msgspec.MsgspecError as error:
            return Failure(VmListError(detail=f"malformed VM list: {error}"))
        return Success(vms)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()


def http_vm_list(
    host: str, port: int, *, timeout_ms: int = _DEFAULT_TIMEOUT_MS
) -> HttpVmList:
    """Creates a client of the VM list.

    Args:
        host: The IP address of the list's server.
        port: The port of the list's server.
        timeout_ms: Time to connect, and to wait for the next bytes.
    """
    pool = urllib3.HTTPConnectionPool(
        host,
        port,
        maxsize=1,
        block=True,
        retries=False,
        timeout=timeout_ms / _MS_PER_S,
    )
    return HttpVmList(pool)
