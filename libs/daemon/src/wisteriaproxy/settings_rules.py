"""Validation rules of settings, with texts for error messages and the reference."""

import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import attrs

from wisteria_core import parse_digits

META_DOC = "doc"
META_RULE = "rule"

_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
_MAX_PORT = 65_535
_HOUR_MS = 3_600_000


@attrs.frozen
class Rule:
    """Check with a description of the allowed values."""

    allowed: str
    is_allowed: Callable[[Any], bool]


def _is_ip(value: str) -> bool:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def _is_url(value: str) -> bool:
    try:
        parts = urlsplit(value)
        return (
            parts.scheme in ("http", "https") and _is_ip(parts.hostname or "") and parts.port != 0
        )
    except ValueError:
        return False


def _is_file(value: Path | None) -> bool:
    return value is None or value.is_file()


def one_of(values: tuple[str, ...]) -> Rule:
    return Rule(" or ".join(f'"{value}"' for value in values), lambda value: value in values)


def between(low: int, high: int, unit: str) -> Rule:
    """Return a rule that allows integers from `low` to `high`."""
    return Rule(f"{low} to {high} {unit}".rstrip(), lambda value: low <= value <= high)


def split_address(value: str) -> tuple[str, int] | None:
    """Split ``10.0.0.1:8080`` into IP address and port; None if invalid."""
    host, _, port = value.rpartition(":")
    number = parse_digits(port)
    if not _is_ip(host) or number is None or not 0 < number <= _MAX_PORT:
        return None
    return host, number


NAME = Rule(
    "1 to 63 characters of a-z, 0-9, '.', '_' and '-', a letter or digit first and last",
    lambda value: _NAME.fullmatch(value) is not None,
)
IP_ADDRESS = Rule("an IPv4 or IPv6 address", _is_ip)
ADDRESS = Rule(
    "an IP address and a port, such as 10.0.0.1:8080",
    lambda value: split_address(value) is not None,
)
PORT = between(1, _MAX_PORT, "")
URL_PATH = Rule("a path that starts with '/'", lambda value: value.startswith("/"))
URL = Rule("an http or https URL whose host is an IP address", _is_url)
FILE = Rule("the path of a readable file, absolute or relative to the settings file", _is_file)
TIME = between(1, _HOUR_MS, "ms")


def setting(doc: str, rule: Rule, default: Any = attrs.NOTHING) -> Any:
    """Return an attrs field with description and rule as metadata."""
    return attrs.field(default=default, metadata={META_DOC: doc, META_RULE: rule})
