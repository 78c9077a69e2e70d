"""Decide when a VM that starts or resumes knows enough to serve callers."""

from collections.abc import Collection

import attrs

from wisteria_core import FailureDomain, VmId

from ..versions import VersionStamp
from .config import DisseminationConfig


@attrs.frozen
class Answer:
    """Answer of a peer in the current round."""

    stamp: VersionStamp | None
    ready: bool


@attrs.define
class Learning:
    """One round of querying peers for the highest version.

    The VM becomes ready once it has in force at least the highest version that a listed peer
    answered, and one of these conditions holds:

    - Ready peers in `learn_domains` failure domains have answered, or in all domains of the
      listed peers if there are fewer.
    - `learn_wait_ms` have passed and at least one ready peer has answered. A partition may cut
      off the other failure domains for a long time, and each side must keep serving.
    - The whole fleet is starting: no peer that answered is ready, and either all listed peers
      have answered, or `cold_wait_ms` have passed and a majority of the queried ones have.

    Parameters
    ----------
    nonce : int
        Distinguishes answers of this round from those of earlier rounds and incarnations.
    since_ms : int
        Start time of the round.
    """

    nonce: int
    since_ms: int
    next_ask_ms: int = 0
    turn: int = 0
    asked: set[VmId] = attrs.field(factory=set)
    answers: dict[VmId, Answer] = attrs.field(factory=dict)

    def record(self, vm_id: VmId, answer: Answer) -> None:
        """Record a peer's answer, replacing its earlier one in this round."""
        if vm_id in self.asked:
            self.answers[vm_id] = answer

    def required_version(self, listed: Collection[VmId], refused: Collection[VersionStamp]) -> int:
        """Return the highest version that a listed peer answered and that was not refused."""
        stamps = (answer.stamp for vm_id, answer in self.answers.items() if vm_id in listed)
        valid = (stamp.version for stamp in stamps if stamp and stamp not in refused)
        return max(valid, default=0)

    def has_heard_enough(
        self, domains: dict[VmId, FailureDomain], config: DisseminationConfig, now_ms: int
    ) -> bool:
        """Return whether the answers suffice; `domains` maps listed peers to failure domains."""
        waited_ms = now_ms - self.since_ms
        ready = {
            domains[vm] for vm, answer in self.answers.items() if answer.ready and vm in domains
        }
        wanted = min(config.learn_domains, len(set(domains.values())))
        if ready:
            return len(ready) >= wanted or waited_ms >= config.learn_wait_ms
        if domains and self.answers.keys() >= domains.keys():
            return True
        if waited_ms < config.cold_wait_ms:
            return False
        asked = self.asked & domains.keys()
        return not domains or 2 * len(self.answers.keys() & asked) > len(asked)
