"""Exit codes of the commands."""

from __future__ import annotations

#: The settings are wrong; what is wrong has been written to standard error.
BAD_SETTINGS = 2
#: The command was called with other words than it takes.
BAD_USAGE = 2
