"""Measures the encoded size of bills and the processor time of the codecs.

Usage: ``python -m tools.measure_ledger [--write=false]``

Only the codecs run, without a store, peers or a network.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Sequence
from typing import Any

from absl import app, flags

from tools.resources import load_per_core
from tools.results import format_table, write_results
from trefoilpitch.ledger import Bill, BillLine, deduplicate_bills
from trefoilpitch.ledger._segments import decode_segment, encode_segment

_WRITE = flags.DEFINE_boolean("write", True, "Whether to write the JSON file.")

_INCARNATION = "entry-a_01a23e170421a9ec7401"
_COUNT = 1_000
_REPEATS = 9
_US_PER_S = 1_000_000


def _bills(lines: int) -> tuple[Bill, ...]:
    line = BillLine(
        item="sermon-small@2026.09",
        upstream="engine-suva-017",
        prompt_tokens=812,
        output_tokens=435,
        cost_nano=153_120,
    )
    return tuple(
        Bill(
            request_id=f"{_INCARNATION}-{number}",
            workspace="lautoka-transcripts",
            subject="transcript",
            ended_ms=1_790_000_000_000 + number,
            lines=(line,) * lines,
        )
        for number in range(_COUNT)
    )


def _us_per_bill(work: Callable[[], object]) -> tuple[float, float]:
    """Returns the median and the range of the time over several runs."""
    times: list[float] = []
    for _ in range(_REPEATS):
        started_s = time.process_time()
        work()
        times.append((time.process_time() - started_s) * _US_PER_S / _COUNT)
    return statistics.median(times), max(times) - min(times)


def _measure(lines: int) -> dict[str, Any]:
    bills = _bills(lines)
    payload = encode_segment(bills)
    encode = _us_per_bill(lambda: encode_segment(bills))
    decode = _us_per_bill(lambda: decode_segment(payload))
    deduplicate = _us_per_bill(lambda: deduplicate_bills(bills))
    return {
        "lines_a_bill": lines,
        "bytes_a_bill": round(len(payload) / _COUNT, 1),
        "encode_us": round(encode[0], 2),
        "encode_spread_us": round(encode[1], 2),
        "decode_us": round(decode[0], 2),
        "unite_us": round(deduplicate[0], 2),
    }


def main(arguments: Sequence[str]) -> None:
    """Runs the measurement, prints the table and writes the JSON file."""
    del arguments
    load = load_per_core()
    rows = [_measure(lines) for lines in (1, 2)]
    print(format_table(rows))
    if _WRITE.value:
        write_results("ledger", load, {"bills": rows})


if __name__ == "__main__":
    app.run(main)
