#!/usr/bin/env bash
# The stand-ins of the cases are Python files that need version 3.11 and no other package: checks both.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import fleet, record, standin_http, standin_store, standin_upstream'
