#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the gateways: the
# stand-ins in review/harness-2 and the scripts themselves. Python runs them
# from source, so that building means compiling them once, to find errors.
set -eu
cd "$(dirname "$0")/.."
for file in review/harness-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; sys.path.insert(0, "review/harness-2"); sys.dont_write_bytecode = True; import deployment'
