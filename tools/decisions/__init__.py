"""Seeded measurements of the routing and rollout decisions in virtual time."""
