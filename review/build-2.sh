#!/usr/bin/env bash
# Loads the stand-ins of the cases 6 to 10 once. They are Python modules of this
# repository and need only the packages that the build of the deploy file
# leaves in target/deps; nothing is compiled or installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import review.support_2.links, review.support_2.crashes'
