"""Scheduling of requests to the endpoints of a service, and their rejection."""
