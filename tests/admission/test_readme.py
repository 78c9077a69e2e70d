"""The example in the README of the library runs."""

import re
from pathlib import Path

README = Path(__file__).parents[2] / "libs" / "admission" / "README.md"


def test_example() -> None:
    example = re.search(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert example is not None
    exec(compile(example.group(1), str(README), "exec"), {})
