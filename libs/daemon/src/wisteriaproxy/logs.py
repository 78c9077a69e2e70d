"""One log line per event, as logfmt or JSON, with secrets redacted."""

import logging
import re
import sys
from datetime import UTC, datetime
from functools import lru_cache
from typing import IO, Any

from pythonjsonlogger.core import RESERVED_ATTRS
from pythonjsonlogger.json import JsonFormatter

from .const import DOMAIN, LOG_JSON
from .log_budget import BoundedHandler
from .settings import LogSettings

REDACTED = "(redacted)"

LIBRARIES = tuple(
    f"wisteria_{name}"
    for name in ("admission", "config", "ledger", "limits", "membership", "ownership", "wire")
)

_SECRET_NAMES = frozenset(
    (
        "authorization",
        "proxy_authorization",
        "wisteria_call",
        "call_token",
        "token",
        "key",
        "cookie",
    )
)
_SECRET_TEXT = re.compile(
    r"((?:authorization|wisteria-call|cookie)[\"']?\s*[:=,]\s*b?[\"']?)[^\r\n]*"
    r"|(\b(?:bearer|basic)\s+)\S+",
    re.IGNORECASE,
)
_SECRET_SEPARATOR = re.compile(r"[:=,\s]")
"""Separator between the name of a credential and its value; text without one has no credential."""
_UNQUOTED = re.compile(r"[A-Za-z0-9_./:+@%,-]+")
_PLAIN_TYPES = (int, float, type(None))
_RESERVED = frozenset(RESERVED_ATTRS) | {"taskName", "event"}
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"})


def redact(text: str) -> str:
    """Redact the credentials of HTTP headers."""
    if _SECRET_SEPARATOR.search(text) is None:
        return text
    return _SECRET_TEXT.sub(lambda match: (match[1] or match[2]) + REDACTED, text)


@lru_cache(maxsize=1_024)
def _is_secret(name: str) -> bool:
    return name.lower().replace("-", "_") in _SECRET_NAMES


class SecretFilter(logging.Filter):
    """Redacts credentials before formatting."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact message, extra fields and traceback; never drops the record."""
        record.msg = redact(record.getMessage())
        record.args = None
        for name, value in _read_extra(record):
            if _is_secret(name):
                setattr(record, name, REDACTED)
            elif not isinstance(value, _PLAIN_TYPES):
                setattr(record, name, redact(_render_text(value)))
        if record.exc_info:
            record.exc_text = redact(logging.Formatter().formatException(record.exc_info))
            record.exc_info = None
        return True


def _read_extra(record: logging.LogRecord) -> list[tuple[str, Any]]:
    return [(name, value) for name, value in vars(record).items() if name not in _RESERVED]


def _render_text(value: object) -> str:
    return value.decode("utf-8", "backslashreplace") if isinstance(value, bytes) else str(value)


def render_value(value: object) -> str:
    """Return a logfmt value, quoted if necessary."""
    match value:
        case None:
            return "null"
        case bool():
            return "true" if value else "false"
        case int() | float():
            return str(value)
    text = _render_text(value)
    if _UNQUOTED.fullmatch(text):
        return text
    escaped = text.translate(_ESCAPES)
    safe = "".join(char if char.isprintable() else f"\\u{ord(char):04x}" for char in escaped)
    return f'"{safe}"'


def _render_time(created_s: float) -> str:
    timestamp = datetime.fromtimestamp(created_s, UTC)
    return timestamp.isoformat(timespec="milliseconds").replace("+00:00", "Z")


class LogfmtFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs.

    The message is the name of the event; the other fields are those passed as `extra`.
    """

    def format(self, record: logging.LogRecord) -> str:
        pairs: list[tuple[str, object]] = [
            ("time", _render_time(record.created)),
            ("level", record.levelname.lower()),
            ("logger", record.name),
            ("event", record.getMessage()),
        ]
        pairs += _read_extra(record)
        if record.exc_text:
            pairs.append(("error", record.exc_text))
        return " ".join(f"{_render_name(name)}={render_value(value)}" for name, value in pairs)


def _render_name(name: str) -> str:
    return re.sub(r"[^A-Za-z0-9_.-]", "_", name)


class JsonLineFormatter(JsonFormatter):
    """Formats a record as one JSON object with the field names of logfmt."""

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Add the common fields, then those of the event."""
        log_data["time"] = _render_time(record.created)
        log_data["level"] = record.levelname.lower()
        log_data["logger"] = record.name
        log_data["event"] = record.getMessage()
        log_data.update(_read_extra(record))
        if record.exc_text:
            log_data["error"] = record.exc_text


def make_handler(settings: LogSettings, stream: IO[str] | None = None) -> logging.Handler:
    """Return a handler that writes to `stream` (standard error by default)."""
    return _configure_handler(logging.StreamHandler(stream or sys.stderr), settings)


def make_bounded_handler(settings: LogSettings, descriptor: int) -> logging.Handler:
    """Return a handler that limits log volume and never blocks on its reader."""
    return _configure_handler(BoundedHandler(descriptor), settings)


def _configure_handler(handler: logging.Handler, settings: LogSettings) -> logging.Handler:
    handler.setFormatter(JsonLineFormatter() if settings.format == LOG_JSON else LogfmtFormatter())
    handler.addFilter(SecretFilter())
    return handler


def setup_logs(settings: LogSettings, stream: IO[str] | None = None) -> None:
    """Send all log lines of the daemon's libraries, and warnings of others, to one stream.

    Fields are passed as ``extra``; records that belong to a request carry `ATTR_REQUEST_ID`::

        _LOGGER.info("call_refused", extra={ATTR_REQUEST_ID: request_id, "code": 210})
    """
    install_handler(settings, make_handler(settings, stream))


def install_handler(settings: LogSettings, handler: logging.Handler, *packages: str) -> None:
    """Send log lines of the daemon's libraries, and warnings of others, to a handler.

    Parameters
    ----------
    packages : str
        Further packages, such as a platform's adapter, whose lines are sent as the libraries' are.
    """
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    logging.raiseExceptions = False
    # source location, thread and process are not logged, so don't look them up for each record
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    for name in (DOMAIN, *LIBRARIES, *packages):
        logging.getLogger(name).setLevel(settings.level.upper())
