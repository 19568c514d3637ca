"""Structured logging with `structlog`, as JSON lines or console text; imported only if configured."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from sagetrack.core.log import LEVELS, Sink

# `class` is a Python keyword, so that calls of `log` pass it as `class_`.
PYTHON_FIELD, CLASS_FIELD = "class_", "class"


def sink(output_format: str, level: str, gateway: str, stream: TextIO | None = None) -> Sink:
    """Return a sink that writes each event with the gateway's name and a UTC timestamp.

    Args:
        output_format: `json` or `console`.
        level: The minimum level that is written, one of `LEVELS`.
        gateway: The gateway's name.
        stream: The stream to write to; standard error by default.
    """
    out = stream or sys.stderr
    renderer: Callable[..., Any] = (
        structlog.processors.JSONRenderer()
        if output_format == "json"
        else structlog.dev.ConsoleRenderer(colors=out.isatty())
    )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(out),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        wrapper_class=structlog.BoundLoggerBase,
        cache_logger_on_first_use=True,
    ).bind(gateway=gateway)
    minimum = LEVELS.index(level)

    def write(event_level: str, event: str, fields: dict[str, object]) -> None:
        if LEVELS.index(event_level) >= minimum:
            named = {CLASS_FIELD if name == PYTHON_FIELD else name: value for name, value in fields.items()}
            logger._proxy_to_logger("msg", event, level=event_level, **named)

    return write
