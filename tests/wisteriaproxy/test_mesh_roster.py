"""The list of VMs during and after outages of the store."""

from wisteria_core import FailureDomain, Vm, VmId, VmState
from wisteriaproxy.mesh.entries import ServerEntry
from wisteriaproxy.mesh.roster import RECOVERY_GRACE_MS, Roster


def make_entry(
    name: str,
    host: str = "10.0.0.1",
    revision: int = 1,
    started_ms: int = 1,
    state: VmState = VmState.LIVE,
    sequence: int | None = None,
) -> ServerEntry:
    vm = Vm(VmId(host), host, 1, 2, FailureDomain("north"), "yield", state, instance=name)
    return ServerEntry(name, vm, started_ms, revision, revision if sequence is None else sequence)


def list_instances(roster: Roster) -> list[str]:
    return [vm.instance for vm in roster.make_list()]


def test_a_removed_entry_is_gone_at_once() -> None:
    roster = Roster()
    roster.put(make_entry("a"))
    roster.remove(1_000, "a")
    assert list_instances(roster) == []


def test_a_delayed_write_brings_no_removed_server_back() -> None:
    roster = Roster()
    roster.put(make_entry("a", revision=5, sequence=7))
    roster.remove(1_000, "a")
    roster.put(make_entry("a", revision=6, sequence=6))
    roster.put(make_entry("a", revision=7, sequence=7))
    assert list_instances(roster) == []
    roster.put(make_entry("a", revision=8, sequence=8))
    assert list_instances(roster) == ["a"]
    roster.remove(2_000, "a")
    # a restarted process has the same name and counts its writes from the start
    roster.put(make_entry("a", revision=9, started_ms=2, sequence=1))
    assert list_instances(roster) == ["a"]


def test_a_delayed_write_makes_no_leaving_server_ready() -> None:
    roster = Roster()
    roster.put(make_entry("a", revision=5, sequence=7, state=VmState.LEAVING))
    roster.put(make_entry("a", revision=6, sequence=6))
    (vm,) = roster.make_list()
    assert vm.state is VmState.LEAVING


def test_an_entry_that_lapsed_during_an_outage_is_kept_for_the_grace() -> None:
    roster = Roster()
    roster.put(make_entry("a"))
    roster.note_outage(6_000)
    roster.note_recovery(10_000)
    roster.remove(10_050, "a")
    assert list_instances(roster) == ["a"]
    assert not roster.expire(10_000 + RECOVERY_GRACE_MS - 1)
    assert roster.expire(10_000 + RECOVERY_GRACE_MS)
    assert list_instances(roster) == []


def test_an_entry_that_comes_back_within_the_grace_stays() -> None:
    roster = Roster()
    roster.put(make_entry("a"))
    roster.note_outage(6_000)
    roster.note_recovery(10_000)
    roster.replace(10_050, [])
    roster.put(make_entry("a", revision=9))
    roster.expire(20_000)
    assert list_instances(roster) == ["a"]


def test_a_leaving_server_gets_no_grace() -> None:
    roster = Roster()
    roster.put(make_entry("a", state=VmState.LEAVING))
    roster.note_outage(6_000)
    roster.note_recovery(10_000)
    roster.remove(10_050, "a")
    assert list_instances(roster) == []


def test_of_two_processes_at_one_address_the_later_start_counts() -> None:
    roster = Roster()
    roster.put(make_entry("old", revision=9, started_ms=1))
    roster.put(make_entry("new", revision=5, started_ms=2))
    assert list_instances(roster) == ["new"]


def test_an_older_state_of_an_entry_changes_nothing() -> None:
    roster = Roster()
    roster.put(make_entry("a", revision=5, state=VmState.LEAVING))
    roster.put(make_entry("a", revision=4))
    assert [vm.state for vm in roster.make_list()] == [VmState.LEAVING]


def test_a_watch_that_was_cut_is_no_outage() -> None:
    """A reset watch must not start a grace period, in which calls go to removed servers.

    In one run three VMs sent calls to a server that had been gone for 2.7 s.
    """
    roster = Roster()
    roster.put(make_entry("a"))
    roster.note_outage(10_000)
    roster.note_recovery(10_150)
    roster.remove(10_200, "a")
    assert list_instances(roster) == []
