#!/bin/sh
# Checks that the stand-ins of review/harness-3 can start; they are Python programs.
# Run after the build of the deploy file, which brings their libraries.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps exec python3 -c '
import ast, pathlib
import tornado.web, tornado.httpclient
for path in sorted(pathlib.Path("review/harness-3").glob("*.py")):
    ast.parse(path.read_text(), str(path))
print("the stand-ins are ready")
'
