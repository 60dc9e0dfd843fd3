"""Parts of the measurement of the router."""
