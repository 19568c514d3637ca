"""The command line, put together from one file a command. Nothing of it is loaded on the platform's path."""

from __future__ import annotations

import sys


def main() -> int:
    print("sagetrack: no commands yet", file=sys.stderr)
    return 2
