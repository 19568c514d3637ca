"""`sagetrack lab forge-dns`, `fuzz-h2`, `fuzz-dns`: forged and mutated input."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import typer

from sagetrack.cli.lab_app import INTERRUPTED, bar, fail, judged

if TYPE_CHECKING:
    pass


def forge_dns(
    rate: Annotated[int, typer.Option(help="forged answers a second", min=100, max=20_000)] = 1000,
    seconds: Annotated[float, typer.Option(help="for how long", min=1, max=600)] = 10.0,
) -> None:
    """Send a gateway forged answers beside the true ones; exit 1 if one of them reaches a client."""
    from sagetrack.lab.errors import LabError
    from sagetrack.lab.fault_injection.dns_spoofing import spoof

    try:
        with bar("forge", False) as tell:
            found = spoof(rate, seconds, tell)
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    print(
        f"{found.sent} forged answers, {found.sent / found.seconds:.0f} a second: {found.accepted} accepted; "
        f"{found.true_answers} of {found.queries} queries answered truly"
    )
    raise typer.Exit(1 if found.accepted else 0)


def fuzz_h2(
    frames: Annotated[int, typer.Option(help="about how many", min=1)] = 100_000,
    seed: Annotated[int, typer.Option(help="what is spoilt follows from it", min=0)] = 1,
    front: Annotated[bool, typer.Option("--front", help="the clients' side, not the back")] = False,
) -> None:
    """Feed mutated HTTP/2 frames to the back; exit 1 if any breaks it or an attempt does not end once."""
    from sagetrack.grpc.fuzz import fuzz_downstream, fuzz_upstream

    try:
        with bar("fuzz", False) as tell:
            found = (fuzz_downstream if front else fuzz_upstream)(frames, seed, tell)
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    print(
        f"{found.frames} frames: {found.answered} {'calls answered' if front else 'answers taken'}, "
        f"{found.failed} {'given up by clients' if front else 'attempts failed'}, "
        f"{found.closed} connections closed, {len(found.wrong)} wrong, slowest {found.slowest_ms:.2f} ms"
    )
    raise judged(found.wrong)


def fuzz_dns(
    messages: Annotated[int, typer.Option(help="how many", min=1)] = 100_000,
    seed: Annotated[int, typer.Option(help="what is spoilt follows from it", min=0)] = 1,
) -> None:
    """Feed mutated DNS messages to the reader; exit 1 if any breaks it or passes for what it is not."""
    from sagetrack.lab.fault_injection.dns_fuzz import fuzz

    try:
        with bar("fuzz", False) as tell:
            found = fuzz(messages, seed, tell)
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    print(
        f"{found.messages} messages: {found.queries_parsed} read as queries, "
        f"{found.answers_accepted} taken as answers, {len(found.failures)} wrong, "
        f"slowest {found.slowest_ms:.2f} ms"
    )
    raise judged(found.failures)
