"""The wisteriactl command-line tool."""

from .cli import app, main

__all__ = ["app", "main"]
