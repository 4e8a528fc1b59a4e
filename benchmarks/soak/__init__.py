"""Long runs of real processes under random faults, checked for broken promises."""
