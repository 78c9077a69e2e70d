"""Hypothesis state machine over simulated nodes: safety and convergence under mixed faults."""

from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from wisteria_config import Document, VersionStamp, document_digest, validate_document
from wisteria_config.dissemination import (
    Action,
    ApplyDocument,
    Disseminator,
    ReadyChanged,
    ServiceDocument,
    VersionAnnounce,
)
from wisteria_core import VmId

from .conftest import encode, plain_document, sha256_of
from .fleet import Fleet, SafetyError

VMS = st.sampled_from([VmId(f"vm-{domain}-{place}") for domain in range(3) for place in range(2)])
STEP_MS = 500
CONVERGENCE_MS = 120_000
KEYS = 6


class FleetMachine(RuleBasedStateMachine):
    """Six nodes in three failure domains; operators publish valid and invalid documents."""

    machine: type[Disseminator] = Disseminator

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(3, 2, machine=self.machine)
        self.fleet.on_action = self.check_action
        self.version = 0
        self.keys = {f"k-{number}" for number in range(KEYS)}
        self.withdrawn_at: dict[str, int] = {}
        self.publish_valid()
        self.fleet.start_all()

    def document(self, version: int, **changes: Any) -> bytes:
        keys = [
            {"id": key, "sha256": sha256_of(key), "account": "co-op"} for key in sorted(self.keys)
        ]
        return encode(plain_document(version, keys=keys, **changes))

    def check_action(self, vm_id: VmId, action: Action) -> None:
        """Check that no document contains a key that an earlier version withdrew."""
        if not isinstance(action, ApplyDocument):
            return
        for key, version in self.withdrawn_at.items():
            if action.stamp.version >= version and action.document.find_key(key) is not None:
                raise SafetyError(f"{vm_id} accepts the withdrawn key {key} again")

    # Operators

    @rule()
    def publish_valid(self) -> None:
        self.version += 1
        self.fleet.publish(self.document(self.version))

    @rule()
    def withdraw_key(self) -> None:
        if self.keys:
            key = min(self.keys)
            self.keys.remove(key)
            self.withdrawn_at[key] = self.version + 1
        self.publish_valid()

    @rule(raw=st.sampled_from([b"{", b'{"schema": 2}', b"\xff"]))
    def publish_invalid(self, raw: bytes) -> None:
        self.fleet.publish(raw)

    @rule()
    def publish_racing_edit(self) -> None:
        self.fleet.publish(self.document(self.version, services=[{"name": "yields"}], routes=[]))

    @rule()
    def publish_former_document(self) -> None:
        self.fleet.publish(self.fleet.service.published[0])

    # Faults

    @rule(vm_id=VMS)
    def restart(self, vm_id: VmId) -> None:
        self.fleet.restart(vm_id)

    @rule(vm_id=VMS)
    def kill(self, vm_id: VmId) -> None:
        self.fleet.kill(vm_id)

    @rule(vm_id=VMS)
    def pause(self, vm_id: VmId) -> None:
        self.fleet.pause(vm_id)

    @rule(vm_id=VMS)
    def resume(self, vm_id: VmId) -> None:
        self.fleet.resume(vm_id)

    @rule(one=VMS, other=VMS)
    def cut(self, one: VmId, other: VmId) -> None:
        self.fleet.cut.add(frozenset({one, other}))

    @rule()
    def heal(self) -> None:
        self.fleet.cut.clear()

    @rule(loss=st.sampled_from([0.0, 0.3]), latency_ms=st.sampled_from([3, 400, 3_000]))
    def change_links(self, loss: float, latency_ms: int) -> None:
        self.fleet.loss = self.fleet.duplication = loss
        self.fleet.latency_ms = (1, latency_ms)

    @rule(vms=st.sets(VMS), behind=st.integers(1, 3))
    def make_replicas_stale(self, vms: set[VmId], behind: int) -> None:
        self.fleet.service.stale = dict.fromkeys(vms, behind)

    @rule(vms=st.sets(VMS))
    def take_service_down(self, vms: set[VmId]) -> None:
        self.fleet.service.down = vms

    @rule(duration_ms=st.sampled_from([10, 300, 2_000, 9_000]))
    def wait(self, duration_ms: int) -> None:
        self.fleet.run(duration_ms)

    @invariant()
    def time_passes_and_reads_stay_few(self) -> None:
        self.fleet.run(STEP_MS)
        assert max(self.fleet.service.reads_by_s.values(), default=0) <= 20 * len(self.fleet.nodes)

    def teardown(self) -> None:
        """After all faults end, a higher version reaches every node and all become ready."""
        fleet = self.fleet
        fleet.cut.clear()
        fleet.loss = fleet.duplication = 0.0
        fleet.latency_ms = (1, 3)
        fleet.service.down = set()
        fleet.service.stale = {}
        for vm_id, node in fleet.nodes.items():
            fleet.resume(vm_id)
            if not node.alive:
                fleet.restart(vm_id)
        self.publish_valid()
        fleet.run(CONVERGENCE_MS)
        assert fleet.versions() == {self.version}
        assert len({node.machine.stamp for node in fleet.living()}) == 1
        assert fleet.all_ready()


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


def test_versions_never_fall_and_all_nodes_converge() -> None:
    run_state_machine_as_test(FleetMachine, settings=SETTINGS)


class AcceptsLowerVersion(Disseminator):
    """Accepts every document that the service publishes."""

    def _handle_published(self, outcome: ServiceDocument, now_ms: int) -> None:
        document = validate_document(outcome.raw)
        if isinstance(document, Document) and document != self.document:
            stamp = VersionStamp(document.version, document_digest(document))
            self._actions.append(ApplyDocument(document, stamp, self.document))
            self.history.replace(document, stamp)


class ReadyWithoutAsking(Disseminator):
    """Becomes ready as soon as it has any document."""

    def _update_ready(self, now_ms: int) -> None:
        if not self.ready and self.stamp is not None:
            self.ready = True
            self._actions.append(ReadyChanged(True))


class ServesOnAfterPause(Disseminator):
    """Stays ready after a pause instead of learning again."""

    def handle_wake(self, now_ms: int) -> list[Action]:
        return self.tick(now_ms)


class BelievesAnyAnswer(Disseminator):
    """Accepts answers to queries of another incarnation."""

    def _handle_announcement(self, source: VmId, message: VersionAnnounce, now_ms: int) -> None:
        self.learning.asked.add(source)
        nonce = self.learning.nonce
        altered = VersionAnnounce(
            message.version, message.digest, message.confirmed_age_ms, message.revision, True, nonce
        )
        super()._handle_announcement(source, altered, now_ms)


@pytest.mark.parametrize(
    "mistake", [AcceptsLowerVersion, ReadyWithoutAsking, ServesOnAfterPause, BelievesAnyAnswer]
)
def test_planted_mistake_is_caught(mistake: type[Disseminator]) -> None:
    machine = type("Planted", (FleetMachine,), {"machine": mistake})
    with pytest.raises(SafetyError):
        run_state_machine_as_test(machine, settings=SETTINGS)
