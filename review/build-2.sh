#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: compiles them to bytecode.
# They run on the libraries that the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. python3 -m compileall -q standins review/standin2 siskindale review/6 review/7
