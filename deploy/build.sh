#!/bin/sh
# Installs the libraries that the processes import, and jaylatch itself, in target/deps.
set -eu
deps=target/deps
stamp=target/constraints.txt
if ! cmp -s constraints.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" --constraint constraints.txt \
        tornado msgpack msgspec hdrhistogram prometheus_client python-json-logger returns
    cp constraints.txt "$stamp"
fi
rm -rf "$deps"/jaylatch_*
cp -r packages/core/src/jaylatch_core packages/decisions/src/jaylatch_decisions \
    packages/node/src/jaylatch_node platform/src/jaylatch_platform "$deps/"
python3 -m compileall -q "$deps"
