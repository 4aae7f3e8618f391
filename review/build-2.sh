#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start beside the daemon. Their stand-ins are Python without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in support-2/*.py [4-8]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
