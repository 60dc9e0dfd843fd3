"""Errors of starting a daemon."""


class SettingsError(Exception):
    """The settings cannot be used.

    Args:
        faults: Every fault that was found, one line each.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(faults))
        self._faults = faults

    @property
    def faults(self) -> tuple[str, ...]:
        """Every fault that was found, one line each."""
        return self._faults
