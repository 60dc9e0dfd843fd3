"""Tests of the whole program, besides those of its packages."""
