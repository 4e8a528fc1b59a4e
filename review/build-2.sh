#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are plain Python without
# dependencies, so there is nothing to build but their byte code, as a check.
cd "$(dirname "$0")" && exec python3 -m compileall -q bed
