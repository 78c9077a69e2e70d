# Sourced by the other scripts. Locates the repository, and creates the virtual environment if it
# is missing or its requirements have changed.
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
venv="$root/.venv"
export UV_USE_IO_URING=0
export PYTHONHASHSEED=0

ensure_venv() {
    local stamp="$venv/.stamp"
    local wanted
    wanted="$(cat "$root/constraints.txt" "$root"/libs/*/pyproject.toml | cksum)"
    if [ -f "$stamp" ] && [ "$(cat "$stamp")" = "$wanted" ]; then
        return 0
    fi
    echo "setting up $(basename "$venv")" >&2
    local python="${PYTHON:-python3.11}"
    command -v "$python" >/dev/null || python=python3
    [ -x "$venv/bin/python" ] || "$python" -m venv "$venv"
    # The source build of hdrhistogram reads its version through pbr.
    "$venv/bin/pip" install -q -c "$root/constraints.txt" setuptools pbr >&2
    local editables=()
    local lib
    for lib in "$root"/libs/*/; do
        editables+=(-e "$lib")
    done
    "$venv/bin/pip" install -q --no-build-isolation -c "$root/constraints.txt" \
        -r "$root/requirements-dev.txt" "${editables[@]}" >&2
    echo "$wanted" >"$stamp"
}
