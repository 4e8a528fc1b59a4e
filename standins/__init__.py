"""Small stand-ins for the platform, the endpoints and the balancer."""
