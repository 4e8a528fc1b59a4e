"""Stand-ins of the platform and helpers for the scripts of the review."""
