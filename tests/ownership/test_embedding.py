"""Runs the example of the library's README as printed."""

import re
from pathlib import Path

README = Path(__file__).parents[2] / "libs" / "ownership" / "README.md"
MAX_LINES = 30


def test_example_of_readme_runs() -> None:
    match = re.search(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert match is not None
    code = match.group(1)
    assert len(code.splitlines()) <= MAX_LINES
    scope: dict[str, object] = {}
    exec(compile(code, str(README), "exec"), scope)
    assert len(scope["deciders"]) == 1  # type: ignore[arg-type]
