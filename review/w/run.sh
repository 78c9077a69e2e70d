#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: undisturbed.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "${BASH_SOURCE[0]}")/case.py"
