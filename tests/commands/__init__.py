"""Tests of the commands."""
