"""Sockets, the event loop, HTTP and RPC plumbing."""
