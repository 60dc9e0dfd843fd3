#!/usr/bin/env bash
# Entries of another writer in the list of the workers.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 -m review.support_2.foreign "$folder"
