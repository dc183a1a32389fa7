"""Structured logs: one line per event, filtered by part and level, at a bounded rate; writing never blocks.

`log = logs.part("calls")` returns the logger of a part; `log.info("attempt.ended", message=...)` writes a
line. docs/logs.md lists the events and fields; a field has the same name in every event. Nothing is written
until `configure` is called.
"""

from __future__ import annotations

import contextlib
import logging
import os
import select
import stat
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any, TextIO

import msgspec
import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
FORMATS = ("line", "json")
PARTS = (
    "accept",
    "asyncio",
    "calls",
    "clients",
    "config",
    "courier",
    "discovery",
    "door",  # the operator API
    "fleet",
    "journal",
    "messages",
    "policy",
    "pool",
    "upgrade",
)
MAX_LINE_BYTES = 4096  # PIPE_BUF on Linux: a pipe that polls writable accepts this many without blocking
METHODS = ("debug", "info", "warning", "error", "exception")


class PartLogger:
    """The logger of one part of the program; `configure` sets its methods."""

    debug: Callable[..., Any]
    info: Callable[..., Any]
    warning: Callable[..., Any]
    error: Callable[..., Any]
    exception: Callable[..., Any]

    def __init__(self, name: str) -> None:
        self.name = name
        # Whether a debug line would be written; checked before costly fields are put together.
        self.debug_enabled = False


class Sink:
    """Writes lines to a file descriptor; drops and counts those that it can't accept without blocking."""

    def __init__(self, stream: TextIO | int, lines_per_s: int) -> None:
        """Take over an open stream or descriptor.

        lines_per_s: limit for each second of the monotonic clock; further lines are dropped and counted.
        """
        self.descriptor = stream if isinstance(stream, int) else stream.fileno()
        # The limit; the current second and the lines in it; lines dropped and not reported yet.
        self.lines_per_s, self.second, self.lines_this_second, self.dropped = lines_per_s, 0, 0, 0
        # Formats the line that reports the number of dropped lines; set by `configure`.
        self.render_dropped: Callable[[str, int], bytes] = lambda event, count: b""
        self.poller = select.poll()
        self.poller.register(self.descriptor, select.POLLOUT)
        # Writing to a regular file or to /dev/null does not block.
        mode = os.fstat(self.descriptor).st_mode
        self.may_block = stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode) or os.isatty(self.descriptor)

    def msg(self, line: str) -> None:
        """Write a line, after a `log.dropped` line at the start of a second if lines were dropped before."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.lines_this_second = second, 0
            if self.dropped and self._write(self.render_dropped("log.dropped", self.dropped)):
                self.dropped = 0
        self.lines_this_second += 1
        if self.lines_this_second > self.lines_per_s or not self._write(line.encode("utf-8", "replace")):
            self.dropped += 1

    # structlog calls the method named after the level of the event.
    debug = info = warning = error = critical = exception = log = msg

    def _write(self, line: bytes) -> bool:
        if len(line) >= MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - 4] + b"..."
        if self.may_block and not any(state & select.POLLOUT for _, state in self.poller.poll(0)):
            return False
        with contextlib.suppress(OSError):  # a closed log must not stop the courier
            os.write(self.descriptor, line + b"\n")
        return True


class LibraryLogHandler(logging.Handler):
    """Passes on what libraries log through `logging`, mostly asyncio."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as the event `library` of the part asyncio."""
        method = "error" if record.levelno >= logging.ERROR else "warning"
        getattr(part("asyncio"), method)(
            "library", text=record.getMessage(), logger=record.name, exc_info=record.exc_info or None
        )


def _order_fields(_: Any, method: str, event: dict[str, Any]) -> dict[str, Any]:
    """Put time, level, part and event first and drop fields without a value."""
    head = {
        "at": event.pop("at"),
        "level": method if method != "exception" else "error",
        "part": event.pop("part"),
        "event": event.pop("event"),
    }
    return head | {name: value for name, value in event.items() if value is not None}


def _encode_other(value: Any) -> str:
    return repr(value) if isinstance(value, BaseException) else str(value)


def _as_json(event: dict[str, Any], **_: Any) -> str:
    return msgspec.json.encode(event, enc_hook=_encode_other).decode()


def _as_line(_: Any, __: str, event: dict[str, Any]) -> str:
    head = [str(event.pop("at")), f"{event.pop('level'):<7}", f"{event.pop('part'):<9}", event.pop("event")]
    return " ".join(head + [f"{name}={_quoted(value)}" for name, value in event.items()])


def _quoted(value: Any) -> str:
    """Return a value as text, quoted if it is empty or would not be a single word."""
    text = _encode_other(value) if not isinstance(value, float) else f"{value:g}"
    if text and text.isprintable() and not set(text) & set(' "='):
        return text
    return msgspec.json.encode(text).decode()


_loggers: dict[str, PartLogger] = {}
_configuration: dict[str, Any] = {}


def part(name: str) -> PartLogger:
    """Return the logger of a part, the same object at each call."""
    if name not in _loggers:
        _loggers[name] = PartLogger(name)
        _bind_methods(_loggers[name])
    return _loggers[name]


def configure(
    output_format: str = "line",
    level: str = "info",
    levels: Mapping[str, str] | None = None,
    lines_per_s: int = 50,
    stream: TextIO | int | None = None,
) -> None:
    """Set the output of all loggers, including those that exist already.

    output_format: one of FORMATS.
    level: one of LEVELS, for all parts that are not in `levels`.
    lines_per_s: the most lines per second, over all parts.
    stream: a stream or a file descriptor; standard error if none is given.
    """
    sink = Sink(sys.stderr if stream is None else stream, lines_per_s)
    renderer = structlog.processors.JSONRenderer(serializer=_as_json) if output_format == "json" else _as_line
    processors = [
        structlog.processors.format_exc_info,
        structlog.processors.TimeStamper("iso", key="at"),
        _order_fields,
        renderer,
    ]

    def render_dropped(event: str, count: int) -> bytes:
        fields: Any = {"event": event, "part": "courier", "count": count}
        for processor in processors:
            fields = processor(None, "warning", fields)
        return fields.encode()

    sink.render_dropped = render_dropped
    _configuration.update(sink=sink, processors=processors, level=level, levels=dict(levels or {}))
    for logger in _loggers.values():
        _bind_methods(logger)
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryLogHandler()], force=True)


def _bind_methods(logger: PartLogger) -> None:
    if not _configuration:
        for method in METHODS:
            setattr(logger, method, _discard)
        return
    level = LEVELS[_configuration["levels"].get(logger.name, _configuration["level"])]
    bound = structlog.wrap_logger(
        _configuration["sink"],
        processors=_configuration["processors"],
        part=logger.name,
        wrapper_class=structlog.make_filtering_bound_logger(level),
    ).bind()
    for method in METHODS:
        setattr(logger, method, getattr(bound, method))
    logger.debug_enabled = level <= logging.DEBUG


def _discard(event: str, **fields: Any) -> None:
    """Discard an event: tests and tools use parts of the program without configuring logs."""
