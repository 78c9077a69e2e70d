"""Prints the Cap'n Proto schema of the control messages."""

import sys
import types
from pathlib import Path

import wisteriaproxy

# the package's own __init__ loads the schema, which may not exist or be out of date yet
_FOLDER = Path(wisteriaproxy.__file__).parent / "control"
_package = types.ModuleType("wisteriaproxy.control")
_package.__path__ = [str(_FOLDER)]
sys.modules["wisteriaproxy.control"] = _package


def main() -> None:
    """Print the schema."""
    from wisteriaproxy.control.schema import write_schema

    sys.stdout.write(write_schema())


if __name__ == "__main__":
    main()
