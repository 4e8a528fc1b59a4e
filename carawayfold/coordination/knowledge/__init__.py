"""What a router knows of configuration and endpoints, and who told it."""
