"""Structured logging with `structlog`: JSON lines or a console's; loaded only where the operator asks."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from sagetrack.core.log import LEVELS, Sink

CLASS = "class"  # fields are named in `log` as Python allows, in lines as operators know them


def sink(form: str, level: str, gateway: str, stream: TextIO | None = None) -> Sink:
    """A sink that renders `json` or `console` lines from a level on, each with `gateway` and a UTC time."""
    out = stream or sys.stderr
    renderer: Callable[..., Any] = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=out.isatty())
    )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(out),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        wrapper_class=structlog.BoundLoggerBase,
        cache_logger_on_first_use=True,
    ).bind(gateway=gateway)
    least = LEVELS.index(level)

    def write(of: str, event: str, fields: dict[str, object]) -> None:
        if LEVELS.index(of) >= least:
            named = {CLASS if name == "class_" else name: value for name, value in fields.items()}
            logger._proxy_to_logger("msg", event, level=of, **named)

    return write
