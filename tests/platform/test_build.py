"""The build command of the deploy file, run in a copy of the tree."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
IGNORED = shutil.ignore_patterns("__pycache__", "*.egg-info")
EXIT_BAD_SETTINGS = 2


def test_the_build_makes_a_program_that_starts(tmp_path: Path) -> None:
    """Without settings the program reports the error and exits, so no platform is needed."""
    for name in ("libs", "platform", "deploy"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=IGNORED)
    shutil.copy(ROOT / "constraints.txt", tmp_path)
    deploy = tomllib.loads((tmp_path / "deploy" / "system.toml").read_text())
    role = deploy["roles"]["daemon"]
    assert (tmp_path / role["template"]).is_file()
    subprocess.run(deploy["build"].split(), cwd=tmp_path, check=True, capture_output=True)
    made = {path.name for path in tmp_path.iterdir()} - {"libs", "platform", "deploy"}
    assert made == {"constraints.txt", "target"}
    command = [sys.executable, *role["run"].split()[1:]]
    environment = {"PATH": os.environ["PATH"], "PYTHONPATH": str(tmp_path / "target" / "deps")}
    ended = subprocess.run(command, cwd=tmp_path, env=environment, capture_output=True)
    assert ended.returncode == EXIT_BAD_SETTINGS, ended.stderr.decode()
