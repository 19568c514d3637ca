"""`sagetrack peers`: shows the membership table of one gateway."""

from __future__ import annotations

import socket
from typing import Annotated

import typer

RESPONSE_TIMEOUT_S = 2.0


def peers(
    address: Annotated[str, typer.Argument(help="a gateway's admin address, host:port")],
) -> None:
    """Show which peers are alive, suspect or dead, since when, and counts of messages and observations."""
    from sagetrack.cli.lab_app import error_exit
    from sagetrack.config.platform import ConfigError, parse_address

    try:
        gateway_address = parse_address(address, address)
        with socket.create_connection(gateway_address, RESPONSE_TIMEOUT_S) as connection:
            connection.sendall(b"peers\n")
            response = b""
            while data := connection.recv(65_536):
                response += data
    except ConfigError as error:
        raise error_exit(str(error)) from None
    except OSError as error:
        raise error_exit(f"{address}: {error.strerror or error}") from None
    lines = response.decode("utf-8", "replace").splitlines()
    if not lines or not lines[0].startswith("SUCCESS"):
        raise error_exit(f"{address}: {lines[0] if lines else 'empty response from the admin interface'}")
    for line in lines[1:]:
        if line != "EOT":
            print(line)
