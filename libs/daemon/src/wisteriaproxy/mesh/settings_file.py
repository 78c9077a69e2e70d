"""Watches the settings file, which may change without a signal."""

import logging
from collections.abc import Callable
from pathlib import Path

import anyio

from .const import SETTINGS_POLL_MS

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000


async def watch_settings(path: Path, on_change: Callable[[], None]) -> None:
    """Call `on_change` each time the file has changed, until cancelled."""
    last_mtime = _read_mtime(path)
    while True:
        await anyio.sleep(SETTINGS_POLL_MS / _MS_PER_S)
        mtime = _read_mtime(path)
        if mtime != last_mtime:
            last_mtime = mtime
            on_change()


def _read_mtime(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        _LOGGER.warning("settings_unreadable", extra={"cause": type(error).__name__})
        return 0
