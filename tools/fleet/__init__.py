"""Processes for the fleet measurements."""
