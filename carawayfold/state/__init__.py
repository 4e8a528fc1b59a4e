"""In-memory state of a router."""
