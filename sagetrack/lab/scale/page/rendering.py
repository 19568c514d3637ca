"""Renders the measured part of docs/CAPACITY.md and inserts it between the page's markers."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from sagetrack.lab.scale.page.failures import failures_table
from sagetrack.lab.scale.page.tables import ranking_lines, requirements_table, work_table
from sagetrack.lab.scale.results import StoredResults

BEGIN_MARKER, END_MARKER = "<!-- measured: begin -->", "<!-- measured: end -->"


def render_page(text: str, before: dict[str, Any], after: dict[str, Any] | None = None) -> str:
    """Return the page with its measured part rendered from stored results.

    Raises:
        ValueError: The page does not have each marker exactly once, in the right order.
        KeyError, TypeError: The stored results are malformed.
    """
    is_marked = text.count(BEGIN_MARKER) == 1 and text.count(END_MARKER) == 1
    if not is_marked or text.index(BEGIN_MARKER) > text.index(END_MARKER):
        raise ValueError(f"the page must have the lines {BEGIN_MARKER} and {END_MARKER}, once each")
    head, _, rest = text.partition(BEGIN_MARKER)
    tail = rest.partition(END_MARKER)[2]
    return f"{head}{BEGIN_MARKER}\n{render_measurements(before, after)}\n{END_MARKER}{tail}"


def render_measurements(before: dict[str, Any], after: dict[str, Any] | None = None) -> str:
    """Return the part between the markers; `after` has stored results of an improved version."""
    first = StoredResults.from_json(before)
    second = StoredResults.from_json(after) if after is not None else None
    lines = [_run_line(first, "Run")]
    if second is not None:
        lines.append(_run_line(second, "After the mends"))
    lines += ["", "## Need and allowance", "", *requirements_table(first, second)]
    lines += ["", "## Ranking by need over allowance", "", *ranking_lines(first)]
    if second is not None:
        lines += ["", "### After the mends", "", *ranking_lines(second)]
    latest = first if second is None else second
    lines += ["", "## What each failure costs", "", *failures_table(latest)]
    lines += ["", "## Work by size", "", *work_table(latest)]
    return "\n".join(lines)


def _run_line(results: StoredResults, name: str) -> str:
    """Return a line with the date, the environment, the options and the sizes of a run."""
    options = [] if results.times else ["`--counts` (no times)"]
    options += ["`--quick`"] if results.quick else []
    sizes = ", ".join(f"{count:,} {size}" for size, count in asdict(results.sizes).items())
    return (
        f"{name}: {results.date}, Python {results.python}, seed {results.seed}, {results.duration_s:g} s"
        f"{', ' + ', '.join(options) if options else ''}; {sizes}; services of {results.smallest_service} to "
        f"{results.largest_service} servers."
    )
