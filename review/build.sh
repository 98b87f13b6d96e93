#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python, so this checks that each
# can be compiled and that its libraries, those of the deployed programs, are there.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/harness
PYTHONPATH=target/deps:src:. python3 -c "import standins.platform_store, review.harness.worker"
