"""Message formats spoken with callers, endpoints, the platform and peers."""
