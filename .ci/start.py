"""Runs the build command of deploy/balancer.toml, then starts its `run` and `sim` like the platform."""

from __future__ import annotations

import json
import os
import signal
import struct
import subprocess
import sys
import tempfile
import tomllib
from importlib.util import cache_from_source
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.standins import SETTINGS  # noqa: E402


def shell(command: str, **more: object) -> subprocess.Popen[bytes]:
    """Start a command of deploy/balancer.toml."""
    return subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, **more)  # type: ignore[call-overload,no-any-return]


def main() -> None:
    """Check that each command does what the platform expects; raises AssertionError if one doesn't."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert shell(deploy["build"]).wait(600) == 0, "build failed"
    # A module that the build has not compiled is compiled at every start, on each of up to 200 gateways.
    sources = [path for folder in deploy["node"] for path in (ROOT / folder).rglob("*.py")]
    uncompiled = [str(path) for path in sources if not Path(cache_from_source(str(path))).exists()]
    assert sources and not uncompiled, f"the build has not compiled {uncompiled}"

    sim = shell(deploy["sim"], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    empty_message = struct.pack("<IIQI", 16, 0, 1, 7)
    out, _ = sim.communicate(empty_message, timeout=60)
    assert out == struct.pack("<II", 4, 7) and sim.returncode == 0, f"sim answered {out!r}"

    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder, "config.json")
        target = {"uid": "s-1", "endpoint": "127.0.0.1:9", "state": "up"}
        known = {"rev": 1, "all": True, "targets": [target]}
        config.write_text(json.dumps({"name": "ci", "seed": "1", "known": known, "settings": SETTINGS}))
        node_env = {"NODE_CONFIG": str(config), "NODE_LISTEN": "127.0.0.1:0", "NODE_DISCOVERY": "127.0.0.1:9"}
        run = shell(deploy["run"], env=os.environ | node_env, stderr=subprocess.PIPE)
        assert run.stderr is not None
        ready = any(b'"now": "ready"' in line for line in run.stderr)
        run.send_signal(signal.SIGTERM)
        run.stderr.read()
        assert ready and run.wait(30) == 0, f"run was ready: {ready}, and ended with {run.returncode}"
    print("run and sim start")


if __name__ == "__main__":
    main()
