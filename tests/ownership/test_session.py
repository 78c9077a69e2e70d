"""Snapshot of one session: start, join, crash, restart in place and planned stop."""

from syrupy.assertion import SnapshotAssertion

from wisteria_core import VmId
from wisteria_ownership import Acquired, Action, AuditEntry, AuditEvent, Released

from .fleet import CONFIG, SLOTS, Fleet

REPEATED = (AuditEvent.ACQUIRED, AuditEvent.RECEIVED, AuditEvent.RELEASED)
SETTLE_MS = CONFIG.wait_out_ms + CONFIG.recheck_ms


def test_session(snapshot: SnapshotAssertion) -> None:
    fleet = Fleet()
    lines: list[str] = []

    def note(vm_id: VmId, action: Action) -> None:
        match action:
            case Acquired(slot, term, payload):
                source = "claim" if payload is None else "hand-over"
                lines.append(f"{fleet.now_ms:6} {vm_id} acquired {slot} term={term} by={source}")
            case Released(slot, reason):
                lines.append(f"{fleet.now_ms:6} {vm_id} released {slot} reason={reason.value}")
            case AuditEntry(event=event) if event in REPEATED:
                pass
            case AuditEntry(event=event, slot=slot, detail=detail):
                lines.append(f"{fleet.now_ms:6} {vm_id} audit {event.value} {slot or ''} {detail}")

    def stage(title: str) -> None:
        holders = {str(slot): [p.vm_id for p in fleet.deciders(slot)] for slot in SLOTS}
        lines.extend(f"       holder {slot}: {names}" for slot, names in holders.items())
        lines.append(f"--- {title}")

    fleet.observe = note
    lines.append("--- three VMs start")
    fleet.add(range(3))
    fleet.run(SETTLE_MS)
    stage("vm-9 joins")
    fleet.add([9])
    read_newest(fleet)
    fleet.run(SETTLE_MS)
    crashed = fleet.deciders(SLOTS[0])[0].vm_id
    stage(f"{crashed} crashes and stays listed")
    fleet.kill(crashed)
    fleet.run(SETTLE_MS)
    stage(f"the list drops {crashed}")
    fleet.delist(crashed)
    read_newest(fleet)
    fleet.run(SETTLE_MS)
    restarted = fleet.deciders(SLOTS[0])[0].vm_id
    stage(f"{restarted} restarts in place")
    fleet.kill(restarted)
    fleet.start(restarted, len(fleet.lists) - 1)
    fleet.run(SETTLE_MS)
    stopped = fleet.deciders(SLOTS[0])[0]
    stage(f"{stopped.vm_id} stops as planned")
    fleet.carry_out(stopped, stopped.machine.begin_stop(stopped.clock_ms(fleet.now_ms)))
    fleet.run(SETTLE_MS)
    stage("end")
    assert "\n".join(lines) == snapshot


def read_newest(fleet: Fleet) -> None:
    """Let every process read the newest list."""
    for process in fleet.running():
        fleet.read_list(process.vm_id, len(fleet.lists) - 1)
