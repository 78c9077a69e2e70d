"""The page on embedding is up to date, and each of its examples runs without the daemon."""

import subprocess
import sys

import pytest
from script.tools.embedding import EMBEDDED, PAGE, extract_examples, render_page

MAX_EXAMPLE_LINES = 30
EXAMPLES = dict(zip(EMBEDDED, extract_examples(PAGE.read_text()), strict=True))
EXPECTED = {
    "ownership": "['vm-2']",
    "membership": "Status.LEAVING False",
    "limits": "refused",
    "admission": "Dispatch(call_id='c-1')",
    "ledger": "OUTCOME_UNKNOWN",
    "routing": "",
}
NO_DAEMON = "import sys\nassert 'wisteriaproxy' not in sys.modules\n"


def test_page_is_up_to_date() -> None:
    assert PAGE.read_text() == render_page()


@pytest.mark.parametrize("library", EMBEDDED)
def test_example_runs_without_the_daemon(library: str) -> None:
    example = EXAMPLES[library]
    assert len(example.splitlines()) <= MAX_EXAMPLE_LINES
    run = subprocess.run(
        [sys.executable, "-c", f"{example}\n{NO_DAEMON}"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode == 0, run.stderr
    assert run.stdout.split("\n", 1)[0] == EXPECTED[library]
