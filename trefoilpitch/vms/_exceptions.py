"""Errors of the VM list."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmListError:
    """The list could not be read; the last known list may still be used."""

    # A description for logs and operators.
    detail: str
