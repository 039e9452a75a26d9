#!/usr/bin/env bash
# Builds what the scripts start, after the build of the deploy file. The stand-ins need the standard library alone.
# The batch front and the service address need the project's own optional packages, in the versions of pyproject.toml.
# They go into a folder beside this file, so that the environment of the deploy file stays as its build left it.
set -euo pipefail
cd "$(dirname "$0")/.."
wanted="$(.venv/bin/python -B -c '
import tomllib
extras = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print(*sorted({*extras["address"], *extras["batch"]}))')"
if [ "$(cat review/.extras/.built 2>/dev/null)" != "$wanted" ]; then
    rm -rf review/.extras
    # shellcheck disable=SC2086  # one word for each package
    .venv/bin/python -m pip -q install --disable-pip-version-check --target review/.extras $wanted
    echo "$wanted" > review/.extras/.built
fi
