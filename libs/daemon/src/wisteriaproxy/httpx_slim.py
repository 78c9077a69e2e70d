"""Imports httpx without its optional command-line client and the libraries which that needs."""

import sys

sys.modules.setdefault("httpx._main", None)  # type: ignore[arg-type]

import httpx  # noqa: E402

__all__ = ["httpx"]
