"""Slots that are granted to the requests of the product's own interface."""
