"""Rendezvous hashing: the same choice on every node, without a message."""

from trefoilpitch.rendezvous._score import rank, score

__all__ = ["rank", "score"]
