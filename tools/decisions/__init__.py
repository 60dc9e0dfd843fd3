"""Seeded measurements of the decisions in virtual time."""
