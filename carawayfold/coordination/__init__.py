"""Decisions that routers take together: membership, scheduling, claims."""
