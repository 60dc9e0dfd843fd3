"""Rendezvous hashing: every node computes the same choice independently."""

from trefoilpitch.rendezvous._score import rank, score

__all__ = ["rank", "score"]
