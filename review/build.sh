#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are plain Python without further
# packages, so that nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m compileall -q review
