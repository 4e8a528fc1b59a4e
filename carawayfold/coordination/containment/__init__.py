"""Containment of request contents that crash endpoints."""
