"""Soak test: real daemons under injected faults, checked as a black box."""
