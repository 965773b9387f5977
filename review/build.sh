#!/bin/sh
# Builds the stand-ins of the cases: plain Python of the standard library, which is only compiled.
cd "$(dirname "$0")" && python3 -m compileall -q standin 1 2 3 4 5
