"""Imports httpx without its optional command line, whose libraries the daemon does not need."""

import sys

sys.modules.setdefault("httpx._main", None)  # type: ignore[arg-type]

import httpx  # noqa: E402

__all__ = ["httpx"]
