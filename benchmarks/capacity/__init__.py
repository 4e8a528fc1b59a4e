"""Measures how costs grow with sizes, and writes the capacity page."""
