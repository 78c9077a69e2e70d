"""The rendezvous order of two candidates does not depend on the rest of the list."""

from hypothesis import given
from hypothesis import strategies as st

from wisteria_core import digest, rank_by_rendezvous

names = st.lists(st.text(min_size=1, max_size=8), unique=True, min_size=2, max_size=12)


@given(st.text(max_size=8), names)
def test_removing_one_keeps_the_order_of_the_rest(key: str, candidates: list[str]) -> None:
    ranked = rank_by_rendezvous(key, candidates)
    without_first = rank_by_rendezvous(key, ranked[1:])
    assert without_first == ranked[1:]


def test_digest_is_stable() -> None:
    assert digest(b"wisteria").hex() == digest(b"wisteria").hex()
    assert len(digest(b"")) == 16
