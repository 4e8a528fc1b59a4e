"""Demonstration, load and measurements, with real processes."""
