"""A soak: real daemons under faults, checked from outside."""
