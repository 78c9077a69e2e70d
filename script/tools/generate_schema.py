"""Prints the Cap'n Proto schema of the control messages."""

import sys
import types
from pathlib import Path

import wisteriaproxy

# a stub package, because the package's own __init__ loads the schema, which may be missing or
# out of date
_FOLDER = Path(wisteriaproxy.__file__).parent / "control"
_stub_package = types.ModuleType("wisteriaproxy.control")
_stub_package.__path__ = [str(_FOLDER)]
sys.modules["wisteriaproxy.control"] = _stub_package


def main() -> None:
    """Print the schema to standard output."""
    from wisteriaproxy.control.schema import write_schema

    sys.stdout.write(write_schema())


if __name__ == "__main__":
    main()
