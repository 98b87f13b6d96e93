#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be started; they need no other build than
# that of the deploy file, whose libraries they use.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:src:.:review/harness-2" PYTHONDONTWRITEBYTECODE=1
for program in worker store late; do
    python3 -m "$program" --help >/dev/null
done
python3 -c "import cluster, standins.forwarder"
echo "stand-ins can be started"
