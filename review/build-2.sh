#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use Python's standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standin2 7 8 9 10
