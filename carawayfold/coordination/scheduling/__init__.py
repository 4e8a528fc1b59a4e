"""Which request goes to which endpoint of a service, and which is turned away."""
