"""The platform's questions: is it ready, where to connect."""

from __future__ import annotations

import msgspec

from trefoilpitch.gateway import Handler, HttpRequest, Node, Responder

_READY_PATH = b"/trefoilpitch/readiness"
_RESOLVE_PATH = b"/trefoilpitch/resolve"
_JSON = (b"Content-Type", b"application/json")
# The most addresses that an answer may hold.
_MAX_ADDRESSES = 64


class PlatformInterfaces:
    """Implements `trefoilpitch.gateway.AuxiliaryHandlers`.

    Args:
        ttl_s: How long callers may use an answer, in seconds.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s

    def readiness(self, node: Node) -> Handler:
        """Answers the platform's own checks."""

        async def respond(request: HttpRequest, responder: Responder) -> None:
            if request.target.partition(b"?")[0] != _READY_PATH:
                await responder.respond(404, [], b"")
                return
            await responder.respond(200 if node.ready else 503, [], b"")

        return respond

    def directory(self, node: Node) -> Handler:
        """Answers callers that ask where to connect."""

        async def respond(request: HttpRequest, responder: Responder) -> None:
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

        return respond
