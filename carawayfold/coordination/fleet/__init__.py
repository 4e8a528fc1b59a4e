"""Fleet membership, choice of leaders and hubs, and choice of store readers."""
