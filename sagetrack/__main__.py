"""`python -m sagetrack` starts the gateway that `$LB_CONFIG` describes; with a command, the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the gateway, or a command if one is given; returns the exit status."""
    if len(sys.argv) > 1:
        from sagetrack.cli.app import main as command_line  # late: the platform's path needs none of it

        return command_line()
    from sagetrack.server.process import main as gateway

    return gateway()


if __name__ == "__main__":
    raise SystemExit(main())
