"""Requests and responses of the gateway, independent of header formats."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._health import LoadReport
from trefoilpitch.gateway._http_client import Headers, ResponseHead
from trefoilpitch.gateway._http_server import HttpRequest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PrefixPart:
    """A segment of a prompt that other prompts may share."""

    # Identifies the content.
    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A caller's request as the request path needs it."""

    # The request as received; its body is forwarded unchanged.
    http: HttpRequest
    # Identifies this attempt of the caller.
    request_id: str
    # The requested host, in lower case, without port.
    host: str
    # The path without the query.
    path: str
    # The workspace's API key; None if the request has none.
    api_key: str | None
    # How long the caller waits, from the request's arrival; None if unknown.
    wait_ms: int | None
    # The requested model; None if the request names none.
    model: str | None = None
    # Whether the router selects the model.
    any_model: bool = False
    prompt_tokens: int = 0
    # Maximum length of the response.
    max_output_tokens: int = 0
    # The caller's estimate of the response's length; 0 if it gave none.
    expected_output_tokens: int = 0
    # Segments of the prompt in order; the last one is specific to the request.
    prefix: tuple[PrefixPart, ...] = ()
    # Identifies requests that belong together; None if there is no session.
    session: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamAttempt:
    """One attempt of a request at an upstream."""

    upstream: UpstreamEntry
    # Time left until the caller's deadline.
    remaining_ms: int
    # None on a public route, or if the configuration has no keys.
    workspace: str | None
    # The model to run; None keeps the caller's choice.
    model: str | None
    # From 0 (most urgent) to 9; None keeps the upstream's default.
    priority: int | None
    # Id of the last event that the caller received; None to start from the
    # beginning.
    last_event_id: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamResponse:
    """The head of an upstream's response, decoded."""

    # Status and headers as received.
    head: ResponseHead
    # Whether it belongs to the request that was sent.
    matches: bool
    # Whether the upstream states that the request has not run and will not run.
    not_run: bool
    # Whether a different upstream instance than the expected one responded.
    wrong_instance: bool
    # Whether it carries the upstream's seal, a signature of the response.
    sealed: bool
    # Whether the body has no content encoding.
    unencoded: bool
    # The model's confidence in its response, from 0 to 100; None if not given.
    confidence: int | None
    # None if the response carries no load report.
    load: LoadReport | None
    # Whether the upstream announces that it is leaving.
    leaving: bool = False
    # How long the upstream wants no requests from this daemon; 0 if it did not
    # ask for a pause.
    pause_ms: int = 0
    # Rejections in a second after which the upstream falls over; None if it
    # announces no limit.
    rejection_limit: int | None = None
    # Requests a second that the upstream takes from all daemons together; None
    # if it announces no limit.
    rate_limit_per_s: float | None = None

    @property
    def is_from_upstream(self) -> bool:
        """Whether the expected upstream has generated it.

        What another one at its address, or one in trouble, leaves out says
        nothing about the upstream.
        """
        return not self.wrong_instance and (self.sealed or self.not_run)


class RequestCodec(Protocol):
    """Translates between HTTP messages and the types of this module."""

    def decode_request(self, request: HttpRequest) -> CallerRequest:
        """Decodes a caller's request.

        Raises:
            BadRequestError: If a mandatory header is missing.
        """

    def decode_cold_ms(self, head: ResponseHead) -> int | None:
        """Decodes for how long an upstream's health response says it is cold.

        Returns:
            0 if it is warm; None if the response does not say.
        """

    def encode_attempt(
        self, request: CallerRequest, attempt: UpstreamAttempt
    ) -> Headers:
        """Returns the request headers of an attempt."""

    def decode_response(
        self, request: CallerRequest, head: ResponseHead
    ) -> UpstreamResponse:
        """Decodes the head of an upstream's response."""

    def encode_response(self, response: UpstreamResponse) -> Headers:
        """Returns a response's headers for the caller, without framing."""

    def encode_refusal(
        self, request_id: str | None, retry_after_ms: int | None
    ) -> Headers:
        """Returns the headers of a response that the router generates."""
