"""Contents under which endpoints end, and how they are kept from the others."""
