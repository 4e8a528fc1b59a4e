"""Configuration and endpoints as one router knows them, and their synchronisation."""
