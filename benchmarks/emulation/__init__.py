"""Emulation of engines and load in simulated time, to compare scheduling policies."""
