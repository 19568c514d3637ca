"""`sagetrack peers`: the other gateways as one gateway sees them."""

from __future__ import annotations

import socket
from typing import Annotated

import typer

WAIT_S = 2.0


def peers(
    address: Annotated[str, typer.Argument(help="a gateway's second address, host:port")],
) -> None:
    """Show who is alive, suspected and dead since when, what was sent and what was taken over."""
    from sagetrack.cli.lab_app import fail
    from sagetrack.config.platform import ConfigError, parse_address

    try:
        host = parse_address(address, address)
        with socket.create_connection(host, WAIT_S) as connection:
            connection.sendall(b"peers\n")
            answer = b""
            while data := connection.recv(65_536):
                answer += data
    except ConfigError as error:
        raise fail(str(error)) from None
    except OSError as error:
        raise fail(f"{address}: {error.strerror or error}") from None
    lines = answer.decode("utf-8", "replace").splitlines()
    if not lines or not lines[0].startswith("SUCCESS"):
        raise fail(f"{address}: {lines[0] if lines else 'no answer'}")
    for line in lines[1:]:
        if line != "EOT":
            print(line)
