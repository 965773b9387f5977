#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later. They need only the Python of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standin3
