"""Logging: structlog over the standard library's, on standard error, as lines for people or as JSON.

Fields are `call`, `provider`, `account` and whatever else an event has; the event itself is a fixed text.
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
    """Whether `debug` is on: asked once at the start, as each line per call costs its making."""
    return logging.getLogger().isEnabledFor(logging.DEBUG)


def configure(form: str, level: str, name: str) -> None:
    """For the whole process. `name` is the sidecar's, on every line."""

    def named(_: Any, __: str, event: Any) -> Any:
        event["sidecar"] = name
        return event

    shared: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.PositionalArgumentsFormatter(),
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        named,
        structlog.processors.StackInfoRenderer(),
    ]
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    last: list[Any] = [structlog.stdlib.ProcessorFormatter.remove_processors_meta]
    if form == "json":
        last += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer(default=repr)]
    else:
        plain = structlog.dev.plain_traceback
        last.append(structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty(), exception_formatter=plain))
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(structlog.stdlib.ProcessorFormatter(foreign_pre_chain=shared, processors=last))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
