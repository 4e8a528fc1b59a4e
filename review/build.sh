#!/bin/sh
# The stand-ins are Python without dependencies: compiling them shows that they are whole.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q harness [1-5]
