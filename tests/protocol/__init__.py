"""Tests of protocol."""
