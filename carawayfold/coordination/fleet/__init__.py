"""The routers: who is there, who decides, and who reads the store."""
