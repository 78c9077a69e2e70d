from pathlib import Path

import pytest

from wisteria_config import Document, validate_document
from wisteria_core import Priority

EXAMPLES = Path(__file__).parents[2] / "examples"


def read_example(site: str) -> Document:
    outcome = validate_document((EXAMPLES / f"{site}.json").read_bytes())
    assert isinstance(outcome, Document), str(outcome)
    return outcome


@pytest.mark.parametrize("site", ["council", "route-works"])
def test_example_is_accepted_with_its_documented_keys(site: str) -> None:
    document = read_example(site)
    assert len(document.services) == 4
    assert len(document.accounts) == 8
    for record in document.keys:
        assert document.find_key(f"sample-{site}-{record.id}") == record


@pytest.mark.parametrize(
    ("site", "method", "path"),
    [
        ("council", "POST", "/animals/741/vet-hold"),
        ("route-works", "POST", "/closures"),
        ("route-works", "POST", "/dispatches"),
    ],
)
def test_risky_calls_are_urgent_and_not_repeatable(site: str, method: str, path: str) -> None:
    route = read_example(site).match_route(method, path)
    assert route is not None
    assert route.priority is Priority.URGENT
    assert not route.repeatable
    assert not route.open
