"""Tests of coordination."""
