"""HTTP endpoints of the platform: readiness and the daemons' addresses."""

from __future__ import annotations

import msgspec

from trefoilpitch.gateway import Handler, HttpRequest, Node, Responder

_READY_PATH = b"/trefoilpitch/readiness"
_RESOLVE_PATH = b"/trefoilpitch/resolve"
_JSON = (b"Content-Type", b"application/json")
# Maximum number of addresses in a response.
_MAX_ADDRESSES = 64


class PlatformInterfaces:
    """Implements `trefoilpitch.gateway.AuxiliaryHandlers`.

    Args:
        ttl_s: How long callers may cache the addresses, in seconds.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s

    def readiness(self, node: Node) -> Handler:
        """Returns the handler of the platform's readiness checks."""

        async def handle(request: HttpRequest, responder: Responder) -> None:
            if request.target.partition(b"?")[0] != _READY_PATH:
                await responder.respond(404, [], b"")
                return
            await responder.respond(200 if node.ready else 503, [], b"")

        return handle

    def directory(self, node: Node) -> Handler:
        """Returns the handler that lists the addresses for callers."""

        async def handle(request: HttpRequest, responder: Responder) -> None:
            if request.target.partition(b"?")[0] != _RESOLVE_PATH:
                await responder.respond(404, [], b"")
                return
            addresses = node.caller_addresses()[:_MAX_ADDRESSES]
            if not addresses:
                await responder.respond(503, [], b"")
                return
            body = msgspec.json.encode(
                {"addresses": addresses, "ttl-s": self._ttl_s}
            )
            await responder.respond(200, [_JSON], body)

        return handle
