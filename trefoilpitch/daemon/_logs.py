"""Log output to standard error."""

from __future__ import annotations

import sys

import logbook
import msgspec

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    del handler
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
    }
    return msgspec.json.encode(line).decode()


def open_log_handler(*, json_lines: bool) -> logbook.Handler:
    """Returns a handler that writes log lines to standard error.

    Args:
        json_lines: Whether each line is a JSON object.
    """
    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    if json_lines:
        handler.formatter = _format_json
    else:
        handler.format_string = _TEXT_FORMAT
    return handler
