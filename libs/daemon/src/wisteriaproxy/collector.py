"""Garbage collector settings for short pauses."""

import gc

GC_THRESHOLDS = (20_000, 50, 100)


def tune_garbage_collector() -> None:
    """Exclude objects that exist after start-up from collection; collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
