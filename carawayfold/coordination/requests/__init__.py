"""Request handling: attempts, retries, idempotency claims and answers to callers."""
