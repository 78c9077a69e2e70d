import pytest

from wisteria_config.paths import RouteIndex

PATTERNS = ["/", "/stalls", "/stalls/{stall}", "/stalls/{stall}/status", "/stalls/all", "/{x}/y/z"]


@pytest.mark.parametrize(
    ("path", "pattern"),
    [
        ("/", "/"),
        ("/other", "/"),
        ("/stallsX", "/"),
        ("/stalls/", "/stalls"),
        ("/stalls?id=/x", "/stalls"),
        ("/stalls/9", "/stalls/{stall}"),
        ("/stalls/all", "/stalls/all"),
        ("/stalls/all/other", "/stalls/all"),
        ("/stalls/all/status/7", "/stalls/{stall}/status"),
        ("/stalls/y/z", "/{x}/y/z"),
        ("/%73talls/9", "/stalls/{stall}"),
        ("/stalls/../orders", None),
        ("/stalls/%2e%2E/orders", None),
        ("/stalls/..;a=1/orders", None),
        ("/stalls//9", None),
        ("/stalls%2f9", None),
        ("/stalls%5c9", None),
        ("/stalls%252f9", None),
        ("/stalls\\9", None),
        ("/stalls/%00", None),
        ("http://host/stalls", None),
        ("stalls", None),
        ("", None),
        ("*", None),
    ],
)
def test_longest_pattern_wins_and_ambiguous_paths_match_none(
    path: str, pattern: str | None
) -> None:
    index = RouteIndex.build(("GET", pattern, pattern) for pattern in PATTERNS)
    assert index.find("GET", path) == pattern
    assert index.find("POST", path) is None


def test_pattern_with_a_trailing_slash_needs_a_longer_path() -> None:
    index = RouteIndex.build(
        [("GET", "/yields/", "below"), ("GET", "/yields/7/", "deeper"), ("GET", "/", "root")]
    )
    assert index.find("GET", "/yields") == "root"
    assert index.find("GET", "/yields/") == "below"
    assert index.find("GET", "/yields/7") == "below"
    assert index.find("GET", "/yields/7/8?x=1") == "deeper"


@pytest.mark.parametrize(
    ("path", "pattern"),
    [
        ("/stalls/all", "/stalls/all"),
        ("/%73talls/9", "/"),
        ("/stalls/%61ll", "/stalls/{stall}"),
        ("/stalls/9/%73tatus", "/stalls/{stall}"),
        ("/stalls/%2e%2E/orders", None),
        ("/stalls%2f9", None),
    ],
)
def test_an_encoded_path_matches_as_it_was_sent(path: str, pattern: str | None) -> None:
    """Guards against a route whose prefix begins the decoded path but not the one that was sent."""
    index = RouteIndex.build(("GET", pattern, pattern) for pattern in PATTERNS)
    assert index.find("GET", path, decodes=False) == pattern
