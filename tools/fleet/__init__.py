"""Parts of the measurement of a fleet."""
