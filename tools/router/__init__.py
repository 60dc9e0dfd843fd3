"""Processes and clients for the router measurements."""
