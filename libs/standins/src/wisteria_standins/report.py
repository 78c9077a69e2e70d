"""Reports of load results: text tables and SVG line charts."""

import io
from html import escape

from rich.console import Console
from rich.table import Table

from .results import FAILED, OK, REFUSED, TIMEOUT, WRONG, Group, LoadResults

_WIDTH = 110
_SVG_WIDTH = 720
_SVG_HEIGHT = 240
_MARGIN = 40


def render_table(results: LoadResults) -> str:
    """Return the results as a text table with one row per group."""
    table = Table(
        title=f"{results.goodput_per_s:.1f} successful requests/s, {results.duration_s:.1f} s"
    )
    for title in ("group", "offered", OK, REFUSED, FAILED, TIMEOUT, WRONG, "tries"):
        table.add_column(title, justify="left" if title == "group" else "right")
    for title in ("p50 ms", "p99 ms"):
        table.add_column(title, justify="right")
    groups = [("all", results.total)]
    for kind, named in (
        ("flow", results.by_flow),
        ("account", results.by_account),
        ("priority", results.by_priority),
        ("phase", results.by_phase),
    ):
        groups += [(f"{kind} {name}", group) for name, group in sorted(named.items()) if name]
    for name, group in groups:
        table.add_row(name, *_render_cells(group))
    console = Console(file=io.StringIO(), width=_WIDTH, color_system=None)
    with console.capture() as captured:
        console.print(table)
    return captured.get().rstrip()


def _render_cells(group: Group) -> list[str]:
    cells = [str(group.offered)]
    cells += [str(group.kinds[kind]) for kind in (OK, REFUSED, FAILED, TIMEOUT, WRONG)]
    cells.append(f"{group.attempts / group.offered:.2f}" if group.offered else "-")
    cells += [f"{group.latency_ms(rank):.2f}" if group.kinds[OK] else "-" for rank in (50.0, 99.0)]
    return cells


def render_svg(title: str, lines: dict[str, list[float]], step_s: float, unit: str) -> str:
    """Return a line chart over time as SVG.

    Parameters
    ----------
    title : str
        Title of the chart.
    lines : dict
        Values of each line by its name, one per time step, all in `unit`.
    step_s : float
        Length of a time step, in seconds.
    unit : str
        Unit of the values.
    """
    steps = max((len(values) for values in lines.values()), default=0)
    peak = max((value for values in lines.values() for value in values), default=0.0) or 1.0
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_SVG_WIDTH}" height="{_SVG_HEIGHT}" '
        'font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<text x="{_MARGIN}" y="16" font-size="13">{escape(title)}</text>',
        _render_axes(peak, steps * step_s, unit),
    ]
    for number, (name, values) in enumerate(lines.items()):
        parts.append(_render_line(name, values, peak, max(1, steps - 1), number))
    return "\n".join([*parts, "</svg>", ""])


_COLOURS = ("#1b6ca8", "#c0392b", "#2e7d32", "#8e44ad", "#b9770e", "#444444")


def _render_axes(peak: float, length_s: float, unit: str) -> str:
    bottom = _SVG_HEIGHT - _MARGIN
    right = _SVG_WIDTH - _MARGIN
    return "\n".join(
        [
            f'<path d="M{_MARGIN} {_MARGIN}V{bottom}H{right}" fill="none" stroke="black"/>',
            f'<text x="4" y="{_MARGIN}">{peak:.4g} {escape(unit)}</text>',
            f'<text x="{right - 30}" y="{bottom + 16}">{length_s:.4g} s</text>',
        ]
    )


def _render_line(name: str, values: list[float], peak: float, last: int, number: int) -> str:
    colour = _COLOURS[number % len(_COLOURS)]
    width = _SVG_WIDTH - 2 * _MARGIN
    height = _SVG_HEIGHT - 2 * _MARGIN
    points = " ".join(
        f"{_MARGIN + width * step / last:.1f},{_SVG_HEIGHT - _MARGIN - height * value / peak:.1f}"
        for step, value in enumerate(values)
    )
    label_y = _MARGIN + 14 * number
    return "\n".join(
        [
            f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="1.5"/>',
            f'<text x="{_SVG_WIDTH - 200}" y="{label_y}" fill="{colour}">{escape(name)}</text>',
        ]
    )


def list_goodput(results: LoadResults, bucket_s: float) -> list[float]:
    """Return the successful requests per second in each time step of `bucket_s` seconds."""
    last = max(results.steps, default=-1)
    return [results.steps[step] / bucket_s for step in range(last + 1)]
