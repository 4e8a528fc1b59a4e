"""The users' platform: its names, formats and calls; nothing here decides."""
