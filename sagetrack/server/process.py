"""Entry point of the gateway process: signal handlers during the start, configuration and exit status.

Modules are imported inside functions, so that signal handlers are installed before the imports run, and an
unusable configuration is reported before the other modules are loaded.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from contextlib import nullcontext, suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sagetrack.config.operator import LogSettings, Operator
    from sagetrack.config.platform import Config
    from sagetrack.server.startup_timing import StartupTiming


class StartupError(Exception):
    """The configuration cannot be used; `lines` has one line of text for each fault."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def main() -> int:
    """Run a gateway as configured by environment variables.

    Returns:
        The exit status: 0 after a graceful shutdown, 1 if a listening address cannot be bound, 2 if the
        configuration cannot be used.
    """
    early_reloads = _install_startup_signal_handlers()
    from sagetrack.server.unused_modules import without_unused_modules

    with without_unused_modules():
        start = _prepare(early_reloads)
    return start()


def _prepare(early_reloads: list[int]) -> Callable[[], int]:
    """Read the configuration and load the other modules; the result runs the gateway until it ends."""
    from sagetrack.core.log import unbuffered_stderr
    from sagetrack.server.exit_status import CONFIGURATION_UNUSABLE
    from sagetrack.server.startup_timing import StartupTiming
    from sagetrack.server.tls_placeholder import without_tls

    sys.stderr = unbuffered_stderr()
    timing = StartupTiming()
    try:
        with without_tls():
            config, operator_path, operator = _read_configuration(timing)
    except StartupError as error:
        for line in error.lines:
            _print_fault(line)
        return lambda: CONFIGURATION_UNUSABLE
    with nullcontext() if operator is not None and operator.newer.tls else without_tls():
        if operator is not None:
            _configure_logging(operator.log, config.name)
        from sagetrack.server.lifecycle import GatewayProcess, run_on_event_loop

    timing.end_phase("imports")
    process = GatewayProcess(config, operator, operator_path, timing, early_reloads)
    return lambda: run_on_event_loop(process)


def _install_startup_signal_handlers() -> list[int]:
    """Exit immediately on SIGTERM and SIGINT, as no request is in flight yet; collect SIGHUP.

    Returns:
        A list to which each SIGHUP is added until the event loop handles the signal. If there was one, the
        configuration has to be reloaded, as it may have been read before the signal.
    """
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda signum, frame: early_reloads.append(signum))
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _exit_immediately)
    return early_reloads


def _exit_immediately(signum: int, frame: object) -> None:
    os._exit(0)


def _print_fault(line: str) -> None:
    """Print a line on standard error; errors of writing are ignored."""
    with suppress(OSError):
        print(f"sagetrack: {line}", file=sys.stderr)


def _read_configuration(timing: StartupTiming) -> tuple[Config, str | None, Operator | None]:
    """Read the platform's configuration and the operator's file.

    Returns:
        The platform's configuration, the path of the operator's file and its content; the last two are None
        if LB_OPERATOR is not set.

    Raises:
        StartupError: One of the files is invalid, or still incomplete after the time for retries.
    """
    from sagetrack.config.platform import ConfigError, IncompleteConfigError, load
    from sagetrack.core.transient_errors import retry_while_transient_blocking

    timing.end_phase("imports")
    try:
        config = retry_while_transient_blocking(load, lambda error: isinstance(error, IncompleteConfigError))
    except ConfigError as error:
        raise StartupError([str(error)]) from None
    operator_path = os.environ.get("LB_OPERATOR") or None
    operator = None
    if operator_path is not None:
        operator = _read_operator(operator_path)
    timing.end_phase("configuration")
    return config, operator_path, operator


def _read_operator(path: str) -> Operator:
    """Read the operator's file, again for a while if it is incomplete; StartupError if it is unusable."""
    from sagetrack.config.errors import FileError, IncompleteFileError
    from sagetrack.config.operator import load
    from sagetrack.core.transient_errors import retry_while_transient_blocking

    try:
        return retry_while_transient_blocking(
            lambda: load(path), lambda error: isinstance(error, IncompleteFileError)
        )
    except FileError as error:
        raise StartupError([str(fault) for fault in error.faults]) from None


def _configure_logging(settings: LogSettings, gateway: str) -> None:
    """Set the log format, the minimum level and the rate limit from the operator's settings."""
    from sagetrack.core.log import LogRateLimit, plain_sink, use_sink, with_minimum_level

    if settings.format == "plain":
        use_sink(with_minimum_level(settings.level, plain_sink), LogRateLimit(settings.burst, settings.rate))
    else:
        from sagetrack.core.structured import sink

        use_sink(sink(settings.format, settings.level, gateway), LogRateLimit(settings.burst, settings.rate))
