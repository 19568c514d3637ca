"""Many runs over seeds and settings, on all cores, which can be interrupted and resumed.

Results are JSON lines, one a run, in the order of the plan. A run that is in the file already is
not played again, so that a sweep which was cut off goes on where it stopped. `comparison` compares two files.
"""

from __future__ import annotations

import hashlib
import itertools
import json
import multiprocessing
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from sagetrack.lab.analysis.figures import figures
from sagetrack.lab.analysis.judges import judge
from sagetrack.lab.model.scenario import Scenario, with_overrides

Row = dict[str, Any]  # one run's results, as a line of the file


@dataclass(slots=True, frozen=True)
class Job:
    """One run of a sweep."""

    scenario: Scenario
    settings: tuple[tuple[str, Any], ...]
    seed: int
    fault: str = ""

    @property
    def id(self) -> str:
        """The same for the same scenario, settings, seed and fault."""
        serialized = json.dumps(
            [msgspec.to_builtins(self.scenario), self.settings, self.seed, self.fault],
            sort_keys=True,
            default=str,
        )
        return hashlib.blake2b(serialized.encode(), digest_size=8).hexdigest()


def plan(scenario: Scenario, seeds: range, settings: dict[str, list[Any]], fault: str = "") -> list[Job]:
    """Return a job for each combination of values and each seed.

    Args:
        scenario: what is played.
        seeds: of the runs.
        settings: values to try, by the scenario's setting.
        fault: a deliberate fault of the gateways, by its name; none if empty.

    Raises:
        FileError: the scenario has no such setting.
    """
    jobs = []
    for values in itertools.product(*settings.values()):
        chosen = tuple(zip(settings, values, strict=True))
        changed = with_overrides(scenario, dict(chosen)) if chosen else scenario
        jobs += [Job(changed, chosen, seed, fault) for seed in seeds]
    return jobs


def play(job: Job) -> Row:
    """Play one run in virtual time and return its row."""
    from sagetrack.lab.virtual.simulation import simulate

    start_s = time.perf_counter()
    records = simulate(job.scenario, job.seed, fault=job.fault)
    result = figures(records, job.scenario, judge(records, job.scenario))
    return {
        "id": job.id,
        "scenario": job.scenario.name,
        "settings": dict(job.settings),
        "seed": job.seed,
        **result.plain(),
        "wall_s": round(time.perf_counter() - start_s, 3),
    }


def read_rows(path: Path) -> dict[str, Row]:
    """Return the rows of a file by their job's id; none if there is no file.

    Lines that are no row are left out: the last one may have been cut short.
    """
    rows: dict[str, Row] = {}
    if path.exists():
        for line in path.read_text().splitlines():
            try:
                row = json.loads(line)
                rows[row["id"]] = row
            except (ValueError, KeyError, TypeError):
                continue
    return rows


def _ignore_interrupts() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent ends the workers


def _end_last_line(path: Path) -> None:
    """See that what is appended begins a new line, also after one that was cut short."""
    if path.exists() and path.stat().st_size and not path.read_bytes().endswith(b"\n"):
        with path.open("a") as file:
            file.write("\n")


def sweep(
    jobs: list[Job], path: Path, workers: int, progress: Callable[[int, int], None] = lambda done, total: None
) -> list[Row]:
    """Play the jobs that a file has no row of, and append their rows.

    Args:
        jobs: all of the sweep.
        path: the file; made with its folder if it isn't there.
        workers: processes at the most.
        progress: called with the number of rows there are and of all jobs.

    Returns:
        The rows of all jobs, in their order.
    """
    rows = read_rows(path)
    missing = [job for job in jobs if job.id not in rows]
    known = len(jobs) - len(missing)
    progress(known, len(jobs))
    path.parent.mkdir(parents=True, exist_ok=True)
    _end_last_line(path)
    if missing:
        # Not by plain forks: a child of a process with threads may wait for a lock that it was born with.
        context = multiprocessing.get_context("forkserver")
        with (
            path.open("a") as file,
            context.Pool(min(workers, len(missing)), _ignore_interrupts) as pool,
        ):
            for number, row in enumerate(pool.imap(play, missing), 1):
                file.write(json.dumps(row) + "\n")
                file.flush()
                rows[row["id"]] = row
                progress(known + number, len(jobs))
    return [rows[job.id] for job in jobs]
