"""When a starting or woken VM knows enough to serve callers."""

from collections.abc import Collection

import attrs

from wisteria_core import FailureDomain, VmId

from ..versions import VersionStamp
from .config import DisseminationConfig


@attrs.frozen
class Answer:
    """What a peer answered in this round."""

    stamp: VersionStamp | None
    ready: bool


@attrs.define
class Learning:
    """One round of asking peers for the highest version.

    The VM is ready when it has in force at least the highest version that a listed peer
    answered, and when one of these holds:

    - ready peers of `learn_domains` failure domains have answered (or of all others, when
      there are fewer);
    - `learn_wait_ms` have passed and some ready peer has answered: a partition may hide the
      other failure domains for long, and each part keeps serving;
    - the whole fleet is starting: no peer that answers is ready, and either every listed peer
      has answered, or `cold_wait_ms` have passed and most of those that were asked have.

    Parameters
    ----------
    nonce : int
        Tells answers of this round from those of earlier ones and earlier incarnations.
    since_ms : int
        Start of the round.
    """

    nonce: int
    since_ms: int
    next_ask_ms: int = 0
    turn: int = 0
    asked: set[VmId] = attrs.field(factory=set)
    answers: dict[VmId, Answer] = attrs.field(factory=dict)

    def record(self, vm_id: VmId, answer: Answer) -> None:
        """Take a peer's answer of this round in place of its earlier one."""
        if vm_id in self.asked:
            self.answers[vm_id] = answer

    def required_version(self, listed: Collection[VmId], refused: Collection[VersionStamp]) -> int:
        """Return the highest version answered by a listed peer and not found invalid."""
        stamps = (answer.stamp for vm_id, answer in self.answers.items() if vm_id in listed)
        valid = (stamp.version for stamp in stamps if stamp and stamp not in refused)
        return max(valid, default=0)

    def has_heard_enough(
        self, domains: dict[VmId, FailureDomain], config: DisseminationConfig, now_ms: int
    ) -> bool:
        """Return whether the answers suffice; `domains` are those of the listed peers."""
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
