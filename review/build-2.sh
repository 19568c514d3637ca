#!/bin/sh
# Builds what the cases 6 to 10 start: their stand-ins are Python and run in the environment of the deploy file's
# `build`, so that they are only compiled.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stand_ins_2.py review/6 review/7 review/8 review/9 review/10
