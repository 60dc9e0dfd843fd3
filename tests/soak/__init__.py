"""Tests of the soak and of what it has found."""
