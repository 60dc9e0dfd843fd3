"""Why the list could not be read."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmListError:
    """The list could not be read; what was read before may still serve."""

    # What went wrong, for logs and operators.
    detail: str
