"""Grants of endpoint slots to the requests of the product's own interface."""
