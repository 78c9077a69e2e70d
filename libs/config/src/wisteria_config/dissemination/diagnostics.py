"""State of the dissemination as plain data for the operator port."""

from .machine import Disseminator


def describe(disseminator: Disseminator, now_ms: int) -> dict[str, object]:
    stamp = disseminator.stamp
    return {
        "version": disseminator.version,
        "digest": stamp.digest.hex() if stamp else "",
        "age_ms": disseminator.age_ms(now_ms),
        "ready": disseminator.ready,
        "reader": disseminator.reads.is_reader,
        "revision": disseminator.reads.revision,
        "reads": disseminator.reads.reads,
        "read_failures": disseminator.reads.failures,
        "stale_answers": disseminator.stale_answers,
        "failed_fetches": disseminator.fetcher.failures,
        "conflicts": disseminator.conflicts,
        "refused": [
            {"version": refused.version, "digest": refused.digest.hex()}
            for refused in disseminator.refused
        ],
    }
