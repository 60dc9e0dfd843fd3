"""Tests that run the whole program; unit tests are in its packages."""
