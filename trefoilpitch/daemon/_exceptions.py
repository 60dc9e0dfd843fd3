"""Errors of starting a daemon."""


class SettingsError(Exception):
    """The settings are invalid.

    Args:
        errors: All errors that were found, one line each.
    """

    def __init__(self, errors: tuple[str, ...]) -> None:
        super().__init__("\n".join(errors))
        self._errors = errors

    @property
    def errors(self) -> tuple[str, ...]:
        """All errors that were found, one line each."""
        return self._errors
