"""Entry point of `python -m sagetrack`: the gateway configured by `$LB_CONFIG`, or a command line command."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the given command, or the gateway if there is none, and return the exit status."""
    if len(sys.argv) > 1:
        from sagetrack.cli.app import main as command_line  # imported here, as the gateway does not need it

        return command_line()
    from sagetrack.server.process import main as gateway

    return gateway()


if __name__ == "__main__":
    raise SystemExit(main())
