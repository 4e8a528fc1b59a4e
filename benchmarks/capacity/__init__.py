"""Slopes of every cost against the size that drives it, and the capacity page."""
