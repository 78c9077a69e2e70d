"""Garbage collection with short pauses."""

import gc

GC_THRESHOLDS = (20_000, 50, 100)


def tune_garbage_collector() -> None:
    """Exclude start-up objects from collection, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
