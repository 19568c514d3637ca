#!/bin/sh
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
exec ../../.venv/bin/python -B case.py
