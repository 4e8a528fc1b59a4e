"""Build of the single executable file that instances run."""
