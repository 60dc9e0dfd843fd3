"""Decodes and encodes the platform's request and response headers."""

from __future__ import annotations

import math
import re

from trefoilpitch.gateway import (
    BadRequestError,
    CallerRequest,
    Headers,
    HttpRequest,
    LoadReport,
    PrefixPart,
    ResponseHead,
    UpstreamAttempt,
    UpstreamResponse,
    log_event,
)

# Identifies one attempt of the caller; workers return it.
_REQUEST_ID = b"x-trefoilpitch-request-attempt-id"
# Signature of the worker that generated the response.
_SEAL = b"x-trefoilpitch-response-seal"
_DEADLINE = b"x-trefoilpitch-deadline-ms"
_EXPECT_INSTANCE = b"x-trefoilpitch-expect-instance"
_NOT_EXECUTED = b"x-trefoilpitch-not-executed"
_TENANT = b"x-trefoilpitch-tenant"
_MODEL = b"x-trefoilpitch-model"
# Number of prompt tokens and maximum number of output tokens.
_TOKEN_COUNTS = b"x-trefoilpitch-token-counts"
# The caller's estimate of the output tokens; accurate only at the median.
_LENGTH_HINT = b"x-trefoilpitch-length-hint"
_PREFIX = b"x-trefoilpitch-prompt-prefix-hash"
_PRIORITY = b"x-trefoilpitch-request-priority"
_CONFIDENCE = b"x-trefoilpitch-confidence"
_LOAD = b"x-trefoilpitch-instance-load"
# 1 in all responses of a worker that is leaving.
_LEAVING = b"server-leaving"
# With status 503: seconds for which a worker wants no further requests.
_RETRY_AFTER = b"retry-after"
# Rejections for want of room in a second after which a worker falls over.
_BRITTLE = b"server-brittle"
# Requests a second that a worker takes from all daemons together.
_RATE_LIMIT = b"server-limit"
# What workers say of themselves in all their responses.
_ANNOUNCEMENT_PREFIX = b"server-"
_KNOWN_ANNOUNCEMENTS = frozenset(
    {_LEAVING, _BRITTLE, _RATE_LIMIT, b"server-timing"}
)
# Names of others that are logged, once each.
_MAX_LOGGED_ANNOUNCEMENTS = 32
# In health responses: milliseconds for which a worker stays cold.
_COLD_MS = b"x-trefoilpitch-cold-ms"
_API_KEY = b"api-key"
_SESSION = b"session"
_LAST_EVENT_ID = b"last-event-id"
_ANY_MODEL = "*"
_BAD_REQUEST = 400
_MISDIRECTED = 421
_UNAVAILABLE = 503
_OK = 200
_LOWEST_PRIORITY = 9
# Limits of rejections above this one mean the same. A malformed one is taken
# for the strictest that lets a worker be tried at all.
_MAX_REJECTION_LIMIT = 10_000
_STRICT_REJECTION_LIMIT = 1
# The same for the limits of requests a second.
_MAX_RATE_LIMIT = 1_000_000.0
_STRICT_RATE_LIMIT = 1.0
_DECIMAL = re.compile(r"\d{1,30}(\.\d{0,30})?|\.\d{1,30}", re.ASCII)
# Figures of a load report: counts of requests, and the duration of work.
_LOAD_COUNTS = 3
_LOAD_FIGURES = 4
# Larger values mean the same; these bounds keep sums of them small.
_MAX_LOAD_COUNT = 1_000_000
_MAX_DURATION_PERCENT = 10_000
_MAX_LOAD_DIGITS = 10
# Characters of a malformed header that are logged.
_MAX_LOGGED_VALUE = 200
_MS_PER_S = 1_000

# Headers of one connection; not forwarded or set again for the next hop.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Headers that only the system sets; removed from callers' requests.
_RESERVED = frozenset(
    {
        _API_KEY,
        _DEADLINE,
        _EXPECT_INSTANCE,
        _TENANT,
        _PRIORITY,
        b"x-trefoilpitch-expect-version",
        b"x-trefoilpitch-hold",
        b"x-trefoilpitch-pin-ms",
        b"x-trefoilpitch-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
# Headers that are always forwarded, even if the Connection header of a caller
# lists them as hop-by-hop.
_END_TO_END = frozenset(
    {_REQUEST_ID, _MODEL, _TOKEN_COUNTS, _PREFIX, _LAST_EVENT_ID, _SESSION}
)


class PlatformRequests:
    """Implements `trefoilpitch.gateway.RequestCodec`."""

    def __init__(self) -> None:
        self._logged_announcements: set[bytes] = set()

    def decode_request(self, request: HttpRequest) -> CallerRequest:
        """Decodes a caller's request."""
        request_id = request.header(_REQUEST_ID)
        if not request_id:
            raise BadRequestError(_BAD_REQUEST, "missing request id header")
        host = (request.header(b"host") or "").lower()
        path = request.target.decode("latin-1").partition("?")[0]
        model = request.header(_MODEL)
        prompt_tokens, output_tokens = _token_counts(
            request.header(_TOKEN_COUNTS)
        )
        return CallerRequest(
            http=request,
            request_id=request_id,
            host=host.rpartition(":")[0] if ":" in host else host,
            path=path,
            api_key=request.header(_API_KEY),
            wait_ms=_number(request.header(_DEADLINE)),
            model=model,
            any_model=model == _ANY_MODEL,
            prompt_tokens=prompt_tokens,
            max_output_tokens=output_tokens,
            expected_output_tokens=_number(request.header(_LENGTH_HINT)) or 0,
            prefix=_prefix(request.header(_PREFIX)),
            session=request.header(_SESSION),
        )

    def encode_attempt(
        self, request: CallerRequest, attempt: UpstreamAttempt
    ) -> Headers:
        """Returns the headers of an attempt for the worker."""
        dropped = _RESERVED | _HOP_BY_HOP | _listed_in_connection(request.http)
        if attempt.model is not None:
            dropped |= {_MODEL}
        if attempt.last_event_id is not None:
            dropped |= {_LAST_EVENT_ID}
        headers = [
            (name, value)
            for name, value in request.http.headers
            if name.lower() not in dropped
        ]
        headers.append(
            (b"X-Trefoilpitch-Deadline-Ms", _text(attempt.remaining_ms))
        )
        headers.append(
            (
                b"X-Trefoilpitch-Expect-Instance",
                attempt.upstream.upstream_id.encode(),
            )
        )
        if attempt.workspace is not None:
            headers.append(
                (b"X-Trefoilpitch-Tenant", attempt.workspace.encode())
            )
        if attempt.model is not None:
            headers.append((b"X-Trefoilpitch-Model", attempt.model.encode()))
        if attempt.priority is not None and request.model is not None:
            priority = min(_LOWEST_PRIORITY, max(0, attempt.priority))
            headers.append(
                (b"X-Trefoilpitch-Request-Priority", _text(priority))
            )
        if attempt.last_event_id is not None:
            headers.append((b"Last-Event-Id", _text(attempt.last_event_id)))
        if request.http.body or _has_body(request.http):
            headers.append((b"Content-Length", _text(len(request.http.body))))
        return headers

    def decode_response(
        self, request: CallerRequest, head: ResponseHead
    ) -> UpstreamResponse:
        """Decodes the head of a worker's response."""
        self._log_unknown_announcements(head)
        return UpstreamResponse(
            head=head,
            # A response may lack the request id only if it is not sealed.
            matches=head.header(_REQUEST_ID) in (None, request.request_id)
            and (
                head.header(_REQUEST_ID) is not None
                or head.header(_SEAL) is None
            ),
            not_run=head.header(_NOT_EXECUTED) is not None,
            wrong_instance=head.status == _MISDIRECTED,
            sealed=head.header(_SEAL) is not None,
            unencoded=head.header(b"content-encoding") is None,
            confidence=_number(head.header(_CONFIDENCE)),
            load=_load(head.header(_LOAD)),
            # Another worker may have taken over the address.
            leaving=head.status != _MISDIRECTED
            and _flag(head.header(_LEAVING)),
            pause_ms=_pause_ms(head.header(_RETRY_AFTER))
            if head.status == _UNAVAILABLE
            else 0,
            rejection_limit=None
            if head.status == _MISDIRECTED
            else _rejection_limit(head.header(_BRITTLE)),
            rate_limit_per_s=None
            if head.status == _MISDIRECTED
            else _rate_limit(head.header(_RATE_LIMIT)),
        )

    def _log_unknown_announcements(self, head: ResponseHead) -> None:
        """Logs what workers say of themselves and nothing here reads."""
        logged = self._logged_announcements
        for name, value in head.headers:
            if (
                name.startswith(_ANNOUNCEMENT_PREFIX)
                and name not in _KNOWN_ANNOUNCEMENTS
                and name not in logged
                and len(logged) < _MAX_LOGGED_ANNOUNCEMENTS
            ):
                logged.add(name)
                log_event(
                    "unknown_announcement",
                    name=name.decode("latin-1")[:_MAX_LOGGED_VALUE],
                    value=value.decode("latin-1")[:_MAX_LOGGED_VALUE],
                )

    def decode_cold_ms(self, head: ResponseHead) -> int | None:
        """Decodes for how long a worker stays cold; None if it does not say."""
        text = head.header(_COLD_MS)
        if head.status != _OK or text is None:
            return None
        cold_ms = _number(text)
        if cold_ms is None or cold_ms < 0:
            log_event("malformed_header", name=_COLD_MS.decode(), value=text)
            return None
        return cold_ms

    def encode_response(self, response: UpstreamResponse) -> Headers:
        """Returns a worker's response headers for the caller."""
        return [
            (name, value)
            for name, value in response.head.headers
            if name not in _HOP_BY_HOP
        ]

    def encode_refusal(
        self, request_id: str | None, retry_after_ms: int | None
    ) -> Headers:
        """Returns the headers of a response generated by the router."""
        headers: list[tuple[bytes, bytes]] = []
        if request_id is not None:
            # As it was decoded, so that the caller gets its own bytes back.
            value = request_id.encode("latin-1")
            headers.append((b"X-Trefoilpitch-Request-Attempt-Id", value))
        if retry_after_ms is not None:
            seconds = f"{retry_after_ms / _MS_PER_S:g}".encode()
            headers.append((b"Retry-After", seconds))
        return headers


def _text(number: int) -> bytes:
    return str(number).encode()


def _number(text: str | None) -> int | None:
    if text is None:
        return None
    try:
        return int(float(text))
    except (ValueError, OverflowError):
        return None


def _flag(text: str | None) -> bool:
    if text is not None and text.strip() not in ("0", "1"):
        log_event("malformed_header", name=_LEAVING.decode(), value=text)
        return False
    return text is not None and text.strip() == "1"


def _pause_ms(text: str | None) -> int:
    if text is None:
        return 0
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds < 0:
        log_event("malformed_header", name=_RETRY_AFTER.decode(), value=text)
        return 0
    return math.ceil(seconds * _MS_PER_S)


def _rejection_limit(text: str | None) -> int | None:
    if text is None:
        return None
    limit = text.strip()
    if not (limit.isascii() and limit.isdigit()):
        log_event("malformed_header", name=_BRITTLE.decode(), value=text)
        return _STRICT_REJECTION_LIMIT
    digits = limit.lstrip("0") or "0"
    if len(digits) > len(str(_MAX_REJECTION_LIMIT)):
        return _MAX_REJECTION_LIMIT
    return min(_MAX_REJECTION_LIMIT, int(digits))


def _rate_limit(text: str | None) -> float | None:
    if text is None:
        return None
    if not _DECIMAL.fullmatch(text.strip()):
        _log_malformed(_RATE_LIMIT, text)
        return _STRICT_RATE_LIMIT
    return min(_MAX_RATE_LIMIT, float(text))


def _token_counts(text: str | None) -> tuple[int, int]:
    if text is None:
        return 0, 0
    prompt, _, output = text.partition(",")
    return _number(prompt) or 0, _number(output) or 0


def _prefix(text: str | None) -> tuple[PrefixPart, ...]:
    parts: list[PrefixPart] = []
    for entry in (text or "").split(","):
        part_id, colon, tokens = entry.strip().partition(":")
        if colon:
            parts.append(
                PrefixPart(part_id=part_id, tokens=_number(tokens) or 0)
            )
    return tuple(parts)


def _load(text: str | None) -> LoadReport | None:
    """Decodes running, waiting, slots and, if present, the duration of work.

    Figures after these are ignored, as later versions of the upstreams may
    add some.
    """
    if text is None:
        return None
    numbers = [_figure(part) for part in text.split(",")[:_LOAD_FIGURES]]
    counts = [n for n in numbers[:_LOAD_COUNTS] if n is not None and n >= 0]
    if len(counts) < _LOAD_COUNTS:
        _log_malformed(_LOAD, text)
        return None
    durations = numbers[_LOAD_COUNTS:]
    duration = durations[0] if durations else None
    huge = max(counts) > _MAX_LOAD_COUNT
    if huge or (durations and not _is_duration(duration)):
        _log_malformed(_LOAD, text)
    if duration is not None:
        duration = min(duration, _MAX_DURATION_PERCENT)
        duration = duration if duration > 0 else None
    running, waiting, slots = (min(_MAX_LOAD_COUNT, n) for n in counts)
    return LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        duration_percent=duration,
    )


def _figure(text: str) -> int | None:
    digits = text.strip()
    if digits.isascii() and digits.isdigit():
        # Python refuses to convert very long texts.
        return int(digits.lstrip("0")[:_MAX_LOAD_DIGITS] or "0")
    return _number(text)


def _is_duration(percent: int | None) -> bool:
    return percent is not None and 0 < percent <= _MAX_DURATION_PERCENT


def _log_malformed(name: bytes, text: str) -> None:
    value = text[:_MAX_LOGGED_VALUE]
    log_event("malformed_header", name=name.decode(), value=value)


def _listed_in_connection(request: HttpRequest) -> frozenset[bytes]:
    listed = (request.header(b"connection") or "").lower().split(",")
    names = {name.strip().encode() for name in listed if name.strip()}
    return frozenset(names - _END_TO_END)


def _has_body(request: HttpRequest) -> bool:
    names = {name.lower() for name, _ in request.headers}
    return b"content-length" in names or b"transfer-encoding" in names
