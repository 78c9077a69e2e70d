"""Entries from several readers of the store, in any order and more than once."""

import attrs
import pytest

from wisteria_core import FailureDomain, Vm, VmId
from wisteriaproxy.mesh.directory import START, Applied, Directory, EntryChanges, RemovedEntry
from wisteriaproxy.mesh.entries import ServerEntry, StorePosition


def at(revision: int, epoch: int = 1) -> StorePosition:
    return StorePosition(epoch, revision)


def make_entry(name: str, revision: int, epoch: int = 1) -> ServerEntry:
    host = f"10.0.0.{ord(name)}"
    vm = Vm(VmId(host), host, 1, 2, FailureDomain("north"), "yield", instance=name)
    return ServerEntry(name, vm, 1, at(revision, epoch), revision)


def make_whole(revision: int, *names: str, epoch: int = 1) -> EntryChanges:
    entries = tuple(make_entry(name, number + 1, epoch) for number, name in enumerate(names))
    return EntryChanges(True, START, at(revision, epoch), entries)


def make_change(base: int, revision: int, name: str) -> EntryChanges:
    return EntryChanges(False, at(base), at(revision), (make_entry(name, revision),))


def make_removal(base: int, revision: int, name: str) -> EntryChanges:
    return EntryChanges(False, at(base), at(revision), (), (RemovedEntry(name, at(revision)),))


def list_names(directory: Directory) -> list[str]:
    return sorted(vm.instance for vm in directory.make_list())


@pytest.fixture
def directory() -> Directory:
    found = Directory()
    found.apply(0, make_whole(10, "a", "b"))
    return found


def test_a_change_from_two_readers_counts_once(directory: Directory) -> None:
    assert directory.apply(0, make_change(10, 12, "c")) is Applied.CHANGED
    assert directory.apply(0, make_change(10, 12, "c")) is Applied.KNOWN
    assert list_names(directory) == ["a", "b", "c"]


# guards against relays that send each other the same entries for ever
def test_all_entries_at_the_known_position_are_no_news(directory: Directory) -> None:
    assert directory.apply(0, directory.snapshot()) is Applied.KNOWN


def test_entries_of_a_lagging_reader_bring_nothing_back(directory: Directory) -> None:
    directory.apply(0, make_removal(10, 12, "a"))
    assert directory.apply(0, make_whole(11, "a", "b")) is Applied.KNOWN
    assert directory.apply(0, make_change(10, 11, "a")) is Applied.KNOWN
    assert list_names(directory) == ["b"]


def test_missing_changes_are_noticed(directory: Directory) -> None:
    assert directory.apply(0, make_change(12, 13, "c")) is Applied.GAP
    assert list_names(directory) == ["a", "b"]
    assert directory.position == at(10)


def test_changes_that_overlap_are_applied(directory: Directory) -> None:
    directory.apply(0, make_change(10, 12, "c"))
    both = attrs.evolve(
        make_change(10, 14, "d"), entries=(make_entry("c", 12), make_entry("d", 14))
    )
    assert directory.apply(0, both) is Applied.CHANGED
    assert list_names(directory) == ["a", "b", "c", "d"]


def test_a_removal_spares_an_entry_that_was_written_later(directory: Directory) -> None:
    changes = EntryChanges(
        False, at(10), at(14), (make_entry("a", 14),), (RemovedEntry("a", at(12)),)
    )
    directory.apply(0, changes)
    assert list_names(directory) == ["a", "b"]


# guards against a server that had left, back after the store was restored from a copy
def test_a_copy_of_an_earlier_epoch_changes_nothing(directory: Directory) -> None:
    restored = make_whole(4, "a", epoch=2)
    assert directory.apply(0, restored) is Applied.CHANGED
    assert directory.apply(0, make_whole(20, "a", "b", "c")) is Applied.KNOWN
    assert directory.apply(0, make_change(10, 20, "d")) is Applied.KNOWN
    assert directory.position == at(4, 2)


def test_changes_after_a_restore_need_all_entries_first(directory: Directory) -> None:
    change = EntryChanges(False, at(4, 2), at(5, 2), (make_entry("c", 5, 2),))
    assert directory.apply(0, change) is Applied.GAP
