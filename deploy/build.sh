#!/usr/bin/env bash
# Installs the libraries and the compiled package into target/deps, which is on Python's module
# search path at run time.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! cmp -s requirements-runtime.lock target/installed.lock; then
    rm -rf target/deps target/installed.lock
    python3 -m pip install -q --no-deps --target target/deps -r requirements-runtime.lock
    # Modules are compiled at build time, because the repository is read-only at run time.
    python3 -m compileall -q -j 0 --invalidation-mode unchecked-hash target/deps
    cp requirements-runtime.lock target/installed.lock
fi
rm -rf target/deps/hibiscushaven
cp -r src/hibiscushaven target/deps/
find target/deps/hibiscushaven -name tests -type d -prune -exec rm -r {} +
find target/deps/hibiscushaven -name __pycache__ -type d -prune -exec rm -r {} +
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps/hibiscushaven
