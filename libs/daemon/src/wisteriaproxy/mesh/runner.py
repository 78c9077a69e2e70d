"""Runs a mesh daemon until a signal asks it to stop."""

import signal
from pathlib import Path

import anyio

from wisteria_core import Clock

from .app import MeshDaemon
from .settings import MeshSettings
from .sources import Platform

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def run_mesh_daemon(settings: MeshSettings, path: Path, platform: Platform) -> bool:
    """Run until a stop is requested; return whether it cancelled no call."""
    results: list[bool] = []
    async with anyio.create_task_group() as tasks:
        daemon = MeshDaemon(settings, path, platform, Clock(), tasks)
        tasks.start_soon(_watch_signals, daemon)
        results.append(await daemon.run())
    return bool(results) and results[0]


async def _watch_signals(daemon: MeshDaemon) -> None:
    """Stop gracefully on SIGTERM and SIGINT; reload settings on SIGHUP."""
    with anyio.open_signal_receiver(*_SIGNALS) as signals:
        # the program may have blocked signals since its start
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _SIGNALS)
        async for received in signals:
            if received == signal.SIGHUP:
                daemon.reload_settings()
            else:
                daemon.start_drain()
