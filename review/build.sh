#!/bin/sh
# Builds the stand-ins of the cases: they are Python with the standard library alone, so this checks their syntax.
# The gateway is built by the deploy file's `build`, which comes first.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q .
