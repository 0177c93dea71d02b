#!/bin/sh
# Builds what the cases start: to be run once from anywhere, after the build of deploy/balancer.toml.
# The stand-ins are plain Python beside the cases; a fleet needs what requirements-fleet.txt lists.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "import crc32c" 2>/dev/null || .venv/bin/python -m pip -q install -r requirements-fleet.txt
.venv/bin/python -m compileall -q review
