"""A caller's request and an upstream's answer, free of any wire format."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._health import LoadReport
from trefoilpitch.gateway._http_client import Headers, ResponseHead
from trefoilpitch.gateway._http_server import HttpRequest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PrefixPart:
    """A part of a prompt that other prompts may share."""

    # Names the part's content.
    part_id: str
    # Its length.
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """What the request path needs to know of a request."""

    # The request as it arrived; forwarded without change.
    http: HttpRequest
    # Name of this attempt of the caller.
    request_id: str
    # The host that was named, in lower case, without port.
    host: str
    # The path without the query.
    path: str
    # The workspace's key; None if there is none.
    api_key: str | None
    # How long the caller waits, from the request's arrival; None if unsaid.
    wait_ms: int | None
    # The model that was asked for; None if none was named.
    model: str | None = None
    # Whether the choice of the model is left to the router.
    any_model: bool = False
    # Length of the prompt.
    prompt_tokens: int = 0
    # Largest length of the answer.
    max_output_tokens: int = 0
    # The caller's own estimate of that length; 0 if it gave none.
    expected_output_tokens: int = 0
    # Parts of the prompt, in order; the last one is the request's own.
    prefix: tuple[PrefixPart, ...] = ()
    # Requests that belong together bear the same name.
    session: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamAttempt:
    """One try of a request at an upstream."""

    # Where it goes.
    upstream: UpstreamEntry
    # What is left of the caller's time.
    remaining_ms: int
    # The request's workspace; None if the route needs no key.
    workspace: str | None
    # The model to run; None leaves the caller's.
    model: str | None
    # Urgency from 0 (first) to 9; None leaves the upstream's default.
    priority: int | None
    # The last event that the caller has; None from the start.
    last_event_id: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamResponse:
    """What an upstream's answer says before its body."""

    # Status and headers as they arrived.
    head: ResponseHead
    # Whether it is an answer to the request that was sent.
    matches: bool
    # Whether it promises that the request has not run.
    not_run: bool
    # Whether another process than the expected one answered.
    wrong_instance: bool
    # Whether the upstream vouches for it.
    sealed: bool
    # Whether the body is the upstream's own bytes, without an encoding.
    unencoded: bool
    # The model's opinion of its answer, from 0 to 100.
    confidence: int | None
    # The upstream's load.
    load: LoadReport | None


class RequestCodec(Protocol):
    """Translates between HTTP messages and the types above."""

    def decode_request(self, request: HttpRequest) -> CallerRequest:
        """Reads a caller's request.

        Raises:
            BadRequestError: If it lacks what every request has.
        """

    def encode_attempt(
        self, request: CallerRequest, attempt: UpstreamAttempt
    ) -> Headers:
        """Returns the headers of a try."""

    def decode_response(
        self, request: CallerRequest, head: ResponseHead
    ) -> UpstreamResponse:
        """Reads an upstream's answer."""

    def encode_response(self, response: UpstreamResponse) -> Headers:
        """Returns an answer's headers for the caller, without framing."""

    def encode_refusal(
        self, request_id: str | None, retry_after_ms: int | None
    ) -> Headers:
        """Returns the headers of an answer that the router itself gives."""
