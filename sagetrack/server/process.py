"""The gateway as a process: start, signals, exit."""

from __future__ import annotations

import os
import signal
import sys
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator


def _end_early(signum: int, frame: object) -> None:
    """A signal before anything is held: there is nothing to finish."""
    os._exit(0)


def say(line: str) -> None:
    """One plain line on standard error, if it can be written."""
    with suppress(OSError):
        print(f"sagetrack: {line}", file=sys.stderr)


def _take_operators(path: str, gateway: str) -> Operator | None:
    """Read the operator's file and log as it says; None, and a line for each fault, if it cannot be used."""
    from sagetrack.config.operator import load
    from sagetrack.config.validation import FileError, UnreadableError
    from sagetrack.core.transient_errors import persist_before_loop

    def read() -> Operator:
        try:
            return load(path)
        except UnreadableError as error:
            raise error.error from None

    try:
        operator = persist_before_loop(read)
    except OSError as error:
        say(f"{path}: {error.strerror}")
        return None
    except FileError as error:
        for fault in error.faults:
            say(str(fault))
        return None
    log = operator.log
    from sagetrack.core.log import Bound, levels_from, plain, use

    if log.format == "plain":
        use(levels_from(log.level, plain), Bound(log.burst, log.rate))
    else:
        from sagetrack.core.structured import sink

        use(sink(log.format, log.level, gateway), Bound(log.burst, log.rate))
    return operator


def main() -> int:
    """Run one gateway as the environment says; returns the exit status."""
    early: list[int] = []  # SIGHUP before the loop runs: the file may have been read by then
    signal.signal(signal.SIGHUP, lambda signum, frame: early.append(signum))
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _end_early)
    # Imported late: a signal during the start must find its handler.
    from sagetrack.core.log import unbuffered
    from sagetrack.server.startup_timing import Startup

    sys.stderr = unbuffered()

    startup = Startup()
    from sagetrack.config.platform import ConfigError, load, read_file
    from sagetrack.core.transient_errors import persist_before_loop

    startup.done("imports")
    try:
        config = load(read=lambda path: persist_before_loop(lambda: read_file(path)))
    except ConfigError as error:
        say(str(error))
        return 2
    operator = None
    if operators := os.environ.get("LB_OPERATOR"):
        operator = _take_operators(operators, config.name)
        if operator is None:
            return 2
    startup.done("configuration")

    import asyncio
    import gc

    import uvloop

    from sagetrack.config.platform import Address
    from sagetrack.core.drain import MARGIN_S
    from sagetrack.core.log import log
    from sagetrack.server.admin import Admin
    from sagetrack.server.gateway_assembly import Instance
    from sagetrack.server.reload import Reloader

    startup.done("imports")

    async def serve() -> int:
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)  # a second one changes nothing
        try:
            instance = Instance(config, operator, startup)
        except ConfigError as error:
            log(str(error), "error")
            return 2
        gateway, server = instance.gateway, instance.server
        on_keys = instance.renew_keys if instance.keys is not None else None
        reloader = Reloader(instance.discovery, operators or None, instance.on_operator, on_keys)
        loop.add_signal_handler(signal.SIGHUP, reloader.ask)
        admin = Admin(server)
        address: Address | None = config.admin
        try:
            if address is not None:
                await admin.start(address)  # until the server is up it says that no clients are taken
            address = config.listen
            await instance.start()
        except ConfigError as error:
            log(str(error), "error")
            return 2
        except OSError as error:
            assert address is not None
            why = os.strerror(error.errno) if error.errno else str(error)
            log(f"cannot listen on {address[0]}:{address[1]}: {why}", "error")
            instance.overlap.leave()
            return 1
        startup.tell()
        if early:
            reloader.ask()
        gc.collect()
        gc.freeze()  # what the start has made is never garbage
        await stop.wait()
        instance.leave_peers()
        leaving = loop.create_task(server.leave())
        await asyncio.sleep(0)  # the way out has begun, and it knows when the last answers are due
        until_s = server.drain.words_s + MARGIN_S / 2
        dns_leaving = loop.create_task(instance.dns.listener.shut_down(until_s)) if instance.dns else None
        front = instance.new_front
        new_leaving = loop.create_task(front.shut_down(until_s)) if front is not None else None
        # However long it takes: what is unanswered at an end by the clock would be lost.
        await leaving
        if dns_leaving is not None:
            await dns_leaving
        if new_leaving is not None:
            await new_leaving
        counts = instance.pools.counts
        log(f"ends; connections to hosts: {counts}")
        admin.close()
        if instance.keeping is not None:
            instance.keeping.close()
        instance.overlap.leave()
        gateway.close()
        return 0

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve())
