"""Integration tests."""
