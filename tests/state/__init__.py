"""Tests of the in-memory state of a router."""
