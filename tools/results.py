"""Output of measurements as text tables and JSON files."""

from __future__ import annotations

import json
import pathlib
import platform
import subprocess
from collections.abc import Mapping, Sequence

from tools.processes import ROOT

RESULTS = ROOT / "docs" / "measurements"


def percentile(values: Sequence[float], percent: float) -> float:
    """Returns a percentile by the nearest rank."""
    ordered = sorted(values)
    index = min(int(len(ordered) * percent / 100), len(ordered) - 1)
    return ordered[index]


def commit() -> str:
    """Returns the current commit, marked if the tree is dirty."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12"]
    result = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    return result.stdout.strip() or "unknown"


def format_table(rows: Sequence[Mapping[str, object]]) -> str:
    """Formats rows with equal keys as a text table."""
    header = list(rows[0])
    lines = [header, *([str(row[name]) for name in header] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def write_results(
    name: str, load: float, sections: Mapping[str, object]
) -> pathlib.Path:
    """Writes a measurement's JSON file.

    Args:
        name: File name without its suffix.
        load: Load average per core at the start of the measurement.
        sections: The rows of each section by its name.
    """
    document = {
        "commit": commit(),
        "python": platform.python_version(),
        "load_per_core": load,
        **sections,
    }
    RESULTS.mkdir(parents=True, exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(document, indent=1) + "\n")
    return path
