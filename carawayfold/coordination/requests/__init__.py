"""The life of a request: attempts, repeats, claims and what callers hear."""
