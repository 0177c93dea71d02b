"""Logging with structlog over the standard library, to standard error, as lines for humans or as JSON.

The event of a line is a fixed text; its fields are `call`, `provider`, `account` and others that depend on the event.
"""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

FORMS = ("human", "json")
LEVELS = ("debug", "info", "warning", "error")

get = structlog.stdlib.get_logger


def tracing() -> bool:
    """Whether the level is `debug`. Checked once when a component is created: even unlogged lines cost time."""
    return logging.getLogger().isEnabledFor(logging.DEBUG)


def configure(form: str, level: str, name: str) -> None:
    """Sets up logging for the whole process. `form` is one of FORMS, `level` one of LEVELS; each line has `name`."""

    def add_sidecar(_: Any, __: str, event: Any) -> Any:
        event["sidecar"] = name
        return event

    shared: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.PositionalArgumentsFormatter(),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        add_sidecar,
        structlog.processors.StackInfoRenderer(),
    ]
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    processors = [structlog.stdlib.ProcessorFormatter.remove_processors_meta, *_renderers(form)]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(structlog.stdlib.ProcessorFormatter(foreign_pre_chain=shared, processors=processors))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def _renderers(form: str) -> list[Any]:
    """The last processors, which render an event as one line or, with a traceback, as several lines."""
    if form == "json":
        return [structlog.processors.format_exc_info, structlog.processors.JSONRenderer(default=repr)]
    traceback = structlog.dev.plain_traceback
    return [structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty(), exception_formatter=traceback)]
