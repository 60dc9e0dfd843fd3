#!/usr/bin/env bash
# A machine that comes back alone, and a request that ends workers.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
# Without the build the case cannot run.
python3 -c "import review.support_2.alone" || exit 2
exec python3 -m review.support_2.alone "$folder"
