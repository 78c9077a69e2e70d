"""Command line of the soak; the last line of the output is JSON."""

import argparse
import asyncio
import json
import random
import re
import shutil
import sys
import time
from collections import Counter
from datetime import datetime

from tests.processes.support import Machine

from wrdsc.const import HEADER_TARGET_INSTANCE

from .checker import Case, Checker
from .disruptions import Disruptor
from .fleet import SoakFleet
from .world import World

LINES_SHOWN = 16
BEFORE_S, AFTER_S = 8.0, 3.0
CASES_SHOWN = 5


async def run(options: argparse.Namespace) -> bool:
    """Run a soak, print what it found, and return whether every rule held."""
    fleet = SoakFleet(has_links=options.links)
    world = World(fleet, random.Random(options.seed), options.rate)
    try:
        await world.async_setup(options.daemons, options.zones)
        world.start()
        disruptor = Disruptor(world, random.Random(f"disruptions {options.seed}"))
        chosen = tuple(options.kinds.split(",")) if options.kinds else ()
        task = world.spawn(disruptor.run(chosen))
        await asyncio.wait((task,), timeout=options.seconds)
        if task.done():
            task.result()
        task.cancel()
        world.load = 1e-9
        await asyncio.sleep(2.5)
        _collect_ends(world)
        cases = Checker(world.record).check()
        for case in _select(cases):
            _print_case(world, case)
        if options.logs:
            shutil.copytree(world.fleet.folder, options.logs, dirs_exist_ok=True)
        print(json.dumps(_summarize(world, disruptor, cases, options.seed)))
        return not cases
    finally:
        await world.async_unload()


def _collect_ends(world: World) -> None:
    for machine in world.fleet.machines:
        for code, at_s in zip(machine.ends, machine.ended_s, strict=True):
            world.record.ends.append((machine.host, at_s, code))


def _select(cases: list[Case]) -> list[Case]:
    shown: Counter[str] = Counter()
    chosen = []
    for case in cases:
        shown[case.rule] += 1
        if shown[case.rule] <= CASES_SHOWN:
            chosen.append(case)
    return chosen


def _print_case(world: World, case: Case) -> None:
    print(f"##### {case.rule} +{case.at_s - world.began_s:.3f} {case.attempt} {case.text}")
    for found in world.record.disruptions:
        if found.start_s - 2 < case.at_s < found.end_s + 10:
            start_s, end_s = found.start_s - world.began_s, found.end_s - world.began_s
            print(f"  {found.kind} +{start_s:.1f}..{end_s:.1f} {sorted(found.hosts or ())}")
    for work in world.record.work:
        if work.attempt == case.attempt:
            print(
                f"  run by {work.service} {work.instance} at {work.host}: {work.end}, "
                f"+{work.at_s - world.began_s:.3f}, target "
                f"{work.headers.get(HEADER_TARGET_INSTANCE)}"
            )
    for machine in world.fleet.machines:
        lines = _find_lines(machine, case)
        if lines:
            print(f"  == {machine.name} {machine.host}")
            print("\n".join(f"  {line[:400]}" for line in lines))


def _find_lines(machine: Machine, case: Case) -> list[str]:
    text = machine.log.read_text(errors="replace").splitlines()
    named = [line for line in text if case.attempt and case.attempt in line]
    if machine.host == case.host:
        named += [line for line in text if _is_change(line) and _is_near(line, case.at_s)]
        # a traceback
        named += [line for line in text if not line.startswith("{")] if not case.attempt else []
    return named[:LINES_SHOWN] + named[LINES_SHOWN:][-LINES_SHOWN:]


def _is_change(line: str) -> bool:
    return '"request_id"' not in line and '"audit"' not in line


def _is_near(line: str, at_s: float) -> bool:
    """Return whether a line was written around a time of the monotonic clock."""
    found = re.match(r'{"time": "([^"]*)Z"', line)
    if found is None:
        return False
    written_s = datetime.fromisoformat(f"{found[1]}+00:00").timestamp()
    return -BEFORE_S < written_s - (time.time() - time.monotonic()) - at_s < AFTER_S


def _summarize(
    world: World, disruptor: Disruptor, cases: list[Case], seed: int
) -> dict[str, object]:
    record = world.record
    ends = Counter(f"{s.end}-{s.status}" if s.status else s.end for s in record.samples)
    late = [d for d in record.disruptions if d.kind.startswith("late")]
    return {
        "ok": not cases,
        "seed": seed,
        "requests": len(record.samples),
        "runs": len(record.work),
        "versions": len(record.versions),
        "outcomes": dict(ends.most_common()),
        "disruptions": disruptor.played,
        "late": len(late),
        "ended": [f"{host} {code}" for host, _, code in record.ends],
        "memory_mb": round(max(record.memory_mb.values(), default=0.0)),
        "broken": dict(Counter(case.rule for case in cases)),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--daemons", type=int, default=16)
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--kinds", default="", help="disruptions to play, separated by commas")
    parser.add_argument("--logs", default="", help="folder to copy settings and logs to")
    parser.add_argument("--links", action="store_true", help="relays between the daemons as well")
    return 0 if asyncio.run(run(parser.parse_args())) else 1


if __name__ == "__main__":
    sys.exit(main())
