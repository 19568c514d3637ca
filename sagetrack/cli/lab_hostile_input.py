"""`sagetrack lab spoof-dns`, `fuzz-h2`, `fuzz-dns`: test the gateway with spoofed and mutated input."""

from __future__ import annotations

from typing import Annotated

import typer

from sagetrack.cli.lab_app import failures_exit, measuring


def spoof_dns(
    rate: Annotated[int, typer.Option(help="forged responses per second", min=100, max=20_000)] = 1000,
    seconds: Annotated[float, typer.Option(help="duration", min=1, max=600)] = 10.0,
) -> None:
    """Send a gateway forged DNS responses along with genuine ones; exit 1 if one reaches a client."""
    from sagetrack.lab.fault_injection.dns_spoofing import spoof

    with measuring("spoof-dns", False) as progress:
        report = spoof(rate, seconds, progress)
    print(
        f"{report.sent} forged answers, {report.sent / report.seconds:.0f} a second: "
        f"{report.accepted} accepted; "
        f"{report.genuine_responses} of {report.queries} queries answered truly"
    )
    raise typer.Exit(1 if report.accepted else 0)


def fuzz_h2(
    frames: Annotated[int, typer.Option(help="approximate number of frames", min=1)] = 100_000,
    seed: Annotated[int, typer.Option(help="seed of the mutations", min=0)] = 1,
    front: Annotated[
        bool, typer.Option("--front", help="fuzz the connection to clients, not the one to servers")
    ] = False,
) -> None:
    """Feed mutated HTTP/2 frames to the gateway; exit 1 if it fails or an attempt does not end once."""
    from sagetrack.grpc.fuzz import fuzz_downstream, fuzz_upstream

    with measuring("fuzz", False) as progress:
        result = (fuzz_downstream if front else fuzz_upstream)(frames, seed, progress)
    print(
        f"{result.frames} frames: {result.answered} {'calls answered' if front else 'answers taken'}, "
        f"{result.unsuccessful} {'given up by clients' if front else 'attempts failed'}, "
        f"{result.closed} connections closed, "
        f"{len(result.failures)} wrong, slowest {result.slowest_ms:.2f} ms"
    )
    raise failures_exit(result.failures)


def fuzz_dns(
    messages: Annotated[int, typer.Option(help="number of messages", min=1)] = 100_000,
    seed: Annotated[int, typer.Option(help="seed of the mutations", min=0)] = 1,
) -> None:
    """Feed mutated DNS messages to the parser; exit 1 if it fails or accepts an invalid message."""
    from sagetrack.lab.fault_injection.dns_fuzz import fuzz

    with measuring("fuzz", False) as progress:
        report = fuzz(messages, seed, progress)
    print(
        f"{report.messages} messages: {report.queries_parsed} read as queries, "
        f"{report.responses_accepted} taken as answers, {len(report.failures)} wrong, "
        f"slowest {report.slowest_ms:.2f} ms"
    )
    raise failures_exit(report.failures)
