#!/bin/sh
# Builds the stand-ins of the cases: Python of the standard library only, so it compiles them.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || sh deploy/build.sh
python3 -m compileall -q review/standins review/[1-5]
