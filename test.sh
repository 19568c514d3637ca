#!/bin/sh
# Runs the linters, the type checker and the tests, in a virtual environment with the pinned requirements.
# The environment is created again when the requirements change.
set -eu
cd "$(dirname "$0")"
python=.venv-dev/bin/python
if ! cat requirements.txt requirements-dev.txt | cmp -s - .venv-dev/built; then
    rm -rf .venv-dev
    python3 -m venv .venv-dev
    $python -m pip -q install -r requirements-dev.txt
    cat requirements.txt requirements-dev.txt >.venv-dev/built
fi
$python -m ruff check .
$python -m ruff format --check .
$python -m mypy
.venv-dev/bin/lint-imports --no-cache
$python -m pytest
