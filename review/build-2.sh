#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides the gateway's own build: the pinned packages of the extras `batch` and
# `inventory` of pyproject.toml, in a folder of their own that the cases add to PYTHONPATH. The stand-ins are plain
# Python and need no build. Run it after the build of the deploy file, with the package mirrors at hand.
set -euo pipefail
cd "$(dirname "$0")/.."
target="review/build/extras-2"
packages="$(.venv/bin/python -c '
import tomllib
extras = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print(" ".join(sorted({*extras["batch"], *extras["inventory"]})))')"
if [ "$(cat "$target/.built" 2>/dev/null)" != "$packages" ]; then
    rm -rf "$target"
    # shellcheck disable=SC2086
    .venv/bin/python -m pip -q install --disable-pip-version-check --target "$target" $packages
    echo "$packages" > "$target/.built"
fi
.venv/bin/python -m compileall -q review/rig_2.py review/6 review/7 review/8 review/9 review/10 || true
