#!/bin/sh
# Runs a command of the program, such as `./run.sh demo`. Its virtual environment is created on first use, and
# again when requirements-tools.txt changes.
set -eu
root=$(cd "$(dirname "$0")" && pwd)
venv=$root/.venv-run
if ! cmp -s "$root/requirements-tools.txt" "$venv/built"; then
    echo "making the virtual environment (once)" >&2
    rm -rf "$venv"
    python3 -m venv "$venv"
    "$venv/bin/python" -m pip -q --disable-pip-version-check install -r "$root/requirements-tools.txt" >&2
    cp "$root/requirements-tools.txt" "$venv/built"
fi
PYTHONPATH=$root${PYTHONPATH:+:$PYTHONPATH} exec "$venv/bin/python" -m sagetrack "${@:---help}"
