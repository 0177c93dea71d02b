#!/bin/sh
# Builds what the cases in review/6 to review/10 start. Their stand-ins are Python with the standard library alone, and the
# project's slow clients (tests/helpers); both run with the interpreter of the deploy file's build. A sidecar that keeps a
# fleet's log needs the project's fleet packages.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c "import crc32c" 2>/dev/null || .venv/bin/python -m pip -q install -r requirements-fleet.txt
.venv/bin/python -m compileall -q review/common-2 tests/helpers
