"""Resource usage of processes, read from the proc file system."""

from __future__ import annotations

import os
import pathlib

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KB_PER_MB = 1_024
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The program name, in parentheses, may contain spaces.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KB_PER_MB
    raise ValueError(f"no VmRSS line in the status of process {pid}")


def load_per_core() -> float:
    """Returns the load average of the last minute, divided by the cores."""
    return round(os.getloadavg()[0] / (os.cpu_count() or 1), 2)
