"""Worth of the standard days of each deployment, from the journal."""
