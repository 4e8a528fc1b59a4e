"""The same verdict at every run: no random seeds, no time limits on examples."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("steady", derandomize=True, deadline=None, database=None)
settings.load_profile("steady")
