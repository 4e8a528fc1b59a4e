"""Tests, in folders that mirror the package."""
