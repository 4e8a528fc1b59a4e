"""What a router keeps in memory."""
