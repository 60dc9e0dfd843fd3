"""Translates between the users' platform and the product; decides nothing."""

from trefoilpitch.platform._main import main

__all__ = ["main"]
