"""Runs of real processes under random faults, with checks of the guarantees."""
