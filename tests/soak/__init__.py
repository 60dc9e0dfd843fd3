"""Tests of the soak test, and regression tests of its failed seeds."""
