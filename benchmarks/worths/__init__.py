"""What the journal tells of each deployment's standard days."""
