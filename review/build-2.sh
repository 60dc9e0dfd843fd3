#!/usr/bin/env bash
# Compiles the modules that the cases 6 to 10 start, so that many daemons can
# start at the same moment, and loads the stand-ins once. They are Python modules
# of this repository and need only the packages that the build of the deploy file
# leaves in target/deps; nothing is installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q trefoilpitch review/support_2 || true
python3 -m compileall -q target/deps || true
python3 -c 'import review.support_2.links, review.support_2.startup'
