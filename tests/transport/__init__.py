"""Tests of transport."""
