#!/bin/sh
# Any command of the program, in a virtual environment that is made on the first use: ./run.sh demo
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
