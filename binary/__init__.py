"""Building the one file that instances run."""
