"""Decisions that span the fleet: membership, scheduling, containment, claims."""
