"""Structured logging with `structlog`, as JSON lines or for a console; imported only on demand."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from sagetrack.core.log import LEVELS, Sink

PYTHON_FIELD, CLASS_FIELD = "class_", "class"  # the field's name in calls of `log` and in lines


def sink(output_format: str, level: str, gateway: str, stream: TextIO | None = None) -> Sink:
    """Return a sink that renders events, each with the gateway's name and a UTC time.

    Args:
        output_format: `json` or `console`.
        level: The lowest level that is written, one of `LEVELS`.
        gateway: The gateway's name.
        stream: Where lines are written; standard error by default.
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
