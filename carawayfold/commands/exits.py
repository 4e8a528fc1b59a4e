"""Exit codes of the commands."""

from __future__ import annotations

#: The settings are invalid; the errors have been written to standard error.
BAD_SETTINGS = 2
#: The command was called with invalid arguments.
BAD_USAGE = 2
#: A task of the process failed; the process stopped as after a stop signal.
INTERNAL_FAILURE = 70
