"""Starts the event loop of the daemon, with the garbage collector tuned for short pauses."""

import gc

import anyio

from .app import run_daemon
from .logs import setup_logs
from .settings import Settings

GC_THRESHOLDS = (20_000, 50, 100)


def run_to_exit(settings: Settings) -> bool:
    """Run the daemon until it stops; return whether the stop cut off no call."""
    setup_logs(settings.log)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    return anyio.run(run_daemon, settings, backend_options={"use_uvloop": True})
