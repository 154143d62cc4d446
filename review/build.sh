#!/bin/sh
# Compiles the stand-ins of all cases; run it from anywhere, after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
