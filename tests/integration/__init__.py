"""Tests of integration."""
