"""Tables of requirements and of work by size, and the ranking of requirements over their allowance."""

from __future__ import annotations

from sagetrack.lab.scale.page.figures import NOT_RUN, FigureKey, FigureReader, format_figure
from sagetrack.lab.scale.page.requirement import Evaluation, Requirement, evaluate
from sagetrack.lab.scale.page.requirements import REQUIREMENTS
from sagetrack.lab.scale.probes import PROBES_BY_NAME
from sagetrack.lab.scale.results import StoredResults, StoredRow


def requirements_table(before: StoredResults, after: StoredResults | None) -> list[str]:
    """Return the table of requirements, with a separate column for the values in `after`."""
    lines = [
        "| role | what | allowed | needed | factor | after the mends | spread | basis | probe | carried by |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for requirement in REQUIREMENTS:
        later = evaluate(requirement, after) if after is not None else None
        lines.append(_requirement_line(evaluate(requirement, before), later))
    return lines


def _requirement_line(evaluation: Evaluation, later: Evaluation | None) -> str:
    requirement = evaluation.requirement
    figures = evaluation.figures
    factor = evaluation.factor
    is_run = evaluation.needed is not None
    cells = (
        requirement.role,
        requirement.description,
        "-" if requirement.allowed is None else f"{format_figure(requirement.allowed)} {requirement.unit}",
        _needed_cell(evaluation),
        "-" if factor is None else format_figure(factor),
        "" if later is None else _later_cell(later),
        _spread_cell(figures) if is_run else "-",
        _basis_cell(requirement, figures) if is_run else requirement.basis,
        ", ".join(f"`{probe}`" for probe in dict.fromkeys(key.probe for key in figures.keys_read)),
        "; ".join(dict.fromkeys(map(_mechanism, figures.probe_rows()))) or "the whole process",
    )
    return f"| {' | '.join(cells)} |"


def _mechanism(row: StoredRow) -> str:
    """Return the current mechanism of a probe, or the stored one if the probe no longer exists."""
    probe = PROBES_BY_NAME.get(row.probe)
    return row.mechanism if probe is None else probe.mechanism


def _needed_cell(evaluation: Evaluation) -> str:
    if evaluation.needed is None:
        return NOT_RUN
    return f"{format_figure(evaluation.needed)} {evaluation.requirement.unit}"


def _later_cell(later: Evaluation) -> str:
    """Return the value and the factor in the later run."""
    factor = later.factor
    return _needed_cell(later) + ("" if factor is None else f" ({format_figure(factor)})")


def _basis_cell(requirement: Requirement, figures: FigureReader) -> str:
    """Return the basis of a value, and whether the target's sizes were run or extrapolated."""
    rows = figures.probe_rows()
    extrapolated_axes = [f"{row.axis} from {row.reached:,}" for row in rows if row.extrapolated]
    if extrapolated_axes:
        return f"{requirement.basis}, extrapolated in {', '.join(extrapolated_axes)}"
    return requirement.basis + (", size reached" if rows else "")


def _spread_cell(figures: FigureReader) -> str:
    """Return the spread of each figure that the row uses."""
    return ", ".join(dict.fromkeys(_spread(figures.rows.get(key.probe), key) for key in figures.keys_read))


def _spread(row: StoredRow | None, key: FigureKey) -> str:
    """Return half the range as a percentage for times, and the residual of the better fit otherwise."""
    if row is None:
        return "one play"
    last = row.points[-1].values
    if key.measure in ("cpu_us", "longest_ms") and last.get("cpu_us"):
        half_percent = 50 * (last["cpu_us_most"] - last["cpu_us_least"]) / last["cpu_us"]
        return f"±{half_percent:.0f}%"
    fit = row.fits.get(key.measure)
    return f"fit ±{min(fit.residual, fit.slope_residual):.2f}" if fit else "exact"


def over_allowance(results: StoredResults) -> list[tuple[float, Requirement]]:
    """Return the requirements over their allowance with their factors, in descending order."""
    exceeded = []
    for requirement in REQUIREMENTS:
        factor = evaluate(requirement, results).factor
        if factor is not None and factor > 1.0:
            exceeded.append((factor, requirement))
    return sorted(exceeded, key=lambda pair: -pair[0])


def ranking_lines(results: StoredResults) -> list[str]:
    """Return the ranked list of requirements over their allowance."""
    lines = [
        f"{rank}. {requirement.role}: {requirement.description}, "
        f"{format_figure(factor)} times what is allowed"
        for rank, (factor, requirement) in enumerate(over_allowance(results), 1)
    ]
    not_run = sum(
        bool(requirement.allowed) and evaluate(requirement, results).needed is None
        for requirement in REQUIREMENTS
    )
    if not_run:
        lines += ["", f"{not_run} rows with an allowance are not run and not ranked."]
    return lines or ["No row is over its allowance."]


def work_table(results: StoredResults) -> list[str]:
    """Return the table of the steps of each probe's event by size."""
    lines = [
        "| probe | event | swept | held | steps at each size | steps for one more | longest hold, ms |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [_work_line(row) for row in results.rows if "steps" in row.points[0].values]
    return lines


def _work_line(row: StoredRow) -> str:
    fit = row.fits["steps"]
    steps = ", ".join(f"{point.values['steps']:,.0f}" for point in row.points)
    sizes = ", ".join(f"{point.size:,}" for point in row.points)
    longest_ms = row.points[-1].values.get("longest_ms")
    longest = NOT_RUN if longest_ms is None else format_figure(longest_ms)
    return (
        f"| `{row.probe}` | {row.event} | {row.axis} {sizes} | {row.fixed} | {steps} | "
        f"{format_figure(fit.slope)} ±{fit.slope_residual:.2f} | {longest} |"
    )
