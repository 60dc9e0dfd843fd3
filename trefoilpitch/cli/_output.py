"""Output as text tables or as JSON."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Any, TextIO

import msgspec

_COLUMN_GAP = "  "


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """A text table with a line of headings."""

    # One for each column.
    headings: tuple[str, ...]
    # Each row has one cell for each column.
    rows: tuple[tuple[str, ...], ...]
    # Printed instead of the table if it has no rows.
    empty: str = "none"


class Console:
    """Writes results to one stream and notices to another.

    Args:
        out: The stream for results.
        err: The stream for notices.
        is_json: Whether results are printed as JSON.
    """

    def __init__(self, out: TextIO, err: TextIO, is_json: bool) -> None:
        self._out = out
        self._err = err
        self._is_json = is_json
        self._document: dict[str, Any] = {}

    def print_notice(self, text: str) -> None:
        """Prints a line that is not part of the result."""
        print(printable(text), file=self._err, flush=True)

    def show(self, *blocks: Table | str) -> None:
        """Prints text and tables; does nothing if the output is JSON."""
        if self._is_json:
            return
        for block in blocks:
            text = render(block) if isinstance(block, Table) else block
            print(printable(text), file=self._out, flush=True)

    def record(self, **fields: Any) -> None:
        """Adds fields to the JSON document."""
        self._document.update(fields)

    def finish(self) -> None:
        """Prints the JSON document if the output is JSON."""
        if not self._is_json:
            return
        encoded = msgspec.json.encode(self._document)
        text = msgspec.json.format(encoded, indent=2).decode()
        print(text, file=self._out, flush=True)


def printable(text: str) -> str:
    """Escapes the control characters of a text, except line feeds.

    Names and authors are untrusted input, whose control sequences must not
    reach the terminal.
    """
    return "".join(
        char if char.isprintable() or char == "\n" else ascii(char)[1:-1]
        for char in text
    )


def render(table: Table) -> str:
    """Formats a table as lines with aligned columns."""
    if not table.rows:
        return table.empty
    lines = (table.headings, *table.rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_render_line(line, widths) for line in lines)


def _render_line(cells: Iterable[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return _COLUMN_GAP.join(padded).rstrip()
