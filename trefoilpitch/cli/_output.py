"""Tables for people and JSON for programs."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Any, TextIO

import msgspec

_GAP = "  "


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """Rows of cells under a line of headings."""

    # The headings, one for each column.
    headings: tuple[str, ...]
    # The rows, each with a cell for each column.
    rows: tuple[tuple[str, ...], ...]
    # Printed in place of a table without rows.
    empty: str = "none"


class Console:
    """Writes results to one stream and remarks to another.

    Args:
        out: Gets the results.
        err: Gets the remarks and errors.
        is_json: Whether results are JSON.
    """

    def __init__(self, out: TextIO, err: TextIO, is_json: bool) -> None:
        self._out = out
        self._err = err
        self._is_json = is_json
        self._document: dict[str, Any] = {}

    def remark(self, text: str) -> None:
        """Tells people what is no part of the result."""
        print(printable(text), file=self._err, flush=True)

    def show(self, *blocks: Table | str) -> None:
        """Prints results for people; nothing where the output is JSON."""
        if self._is_json:
            return
        for block in blocks:
            text = render(block) if isinstance(block, Table) else block
            print(printable(text), file=self._out, flush=True)

    def record(self, **fields: Any) -> None:
        """Adds fields to the document that programs get."""
        self._document.update(fields)

    def finish(self) -> None:
        """Prints the document where the output is JSON."""
        if not self._is_json:
            return
        encoded = msgspec.json.encode(self._document)
        text = msgspec.json.format(encoded, indent=2).decode()
        print(text, file=self._out, flush=True)


def printable(text: str) -> str:
    """Returns a text with its control characters escaped.

    Names and authors come from others and must not steer the terminal.
    """
    return "".join(
        char if char.isprintable() or char == "\n" else ascii(char)[1:-1]
        for char in text
    )


def render(table: Table) -> str:
    """Returns a table as lines whose columns are aligned."""
    if not table.rows:
        return table.empty
    lines = (table.headings, *table.rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_render_line(line, widths) for line in lines)


def _render_line(cells: Iterable[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return _GAP.join(padded).rstrip()
