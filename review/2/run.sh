#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case couldn't run. TROUBLE=0 leaves out the disruption.
exec python3 "$(dirname "$0")/case.py" "$(cd "$(dirname "$0")" && pwd)"
