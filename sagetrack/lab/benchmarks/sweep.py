"""Parallel runs of a scenario over seeds and settings, which can be interrupted and resumed.

The result file has one JSON line per run, in the order of the jobs. A run that the file already contains is
not repeated, so an interrupted sweep resumes where it stopped. `comparison` compares two result files.
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

from sagetrack.lab.analysis.figures import compute_figures
from sagetrack.lab.analysis.judges import find_violations
from sagetrack.lab.model.scenario import Scenario, with_overrides

Row = dict[str, Any]  # the results of one run: one line of the file


@dataclass(slots=True, frozen=True)
class Job:
    """One run of a sweep."""

    scenario: Scenario
    settings: tuple[tuple[str, Any], ...]
    seed: int
    fault: str = ""

    @property
    def id(self) -> str:
        """Hash of the scenario, settings, seed and fault, which identifies the job across sweeps."""
        serialized = json.dumps(
            [msgspec.to_builtins(self.scenario), self.settings, self.seed, self.fault],
            sort_keys=True,
            default=str,
        )
        return hashlib.blake2b(serialized.encode(), digest_size=8).hexdigest()


def plan(scenario: Scenario, seeds: range, settings: dict[str, list[Any]], fault: str = "") -> list[Job]:
    """Return one job per combination of setting values and seed.

    Args:
        scenario: the scenario before the settings are applied.
        seeds: seeds of the runs.
        settings: values to try, by setting name.
        fault: name of the fault to inject into the gateways; empty for none.

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
    """Run one job in virtual time and return its row."""
    from sagetrack.lab.virtual.simulation import simulate

    start_s = time.perf_counter()
    records = simulate(job.scenario, job.seed, fault=job.fault)
    result = compute_figures(records, job.scenario, find_violations(records, job.scenario))
    return {
        "id": job.id,
        "scenario": job.scenario.name,
        "settings": dict(job.settings),
        "seed": job.seed,
        **result.to_json(),
        "wall_s": round(time.perf_counter() - start_s, 3),
    }


def read_rows(path: Path) -> dict[str, Row]:
    """Return the rows of a file by job id; an empty dict if the file does not exist.

    Invalid lines are skipped, because an interrupted sweep may leave a truncated last line.
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
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process stops the workers


def _end_last_line(path: Path) -> None:
    """End a truncated last line with a newline, so that appended rows start on a new line."""
    if path.exists() and path.stat().st_size and not path.read_bytes().endswith(b"\n"):
        with path.open("a") as file:
            file.write("\n")


def sweep(
    jobs: list[Job], path: Path, workers: int, progress: Callable[[int, int], None] = lambda done, total: None
) -> list[Row]:
    """Run the jobs whose results a file does not have, and append their rows to it.

    Args:
        jobs: all jobs of the sweep.
        path: the result file; created with its directory if missing.
        workers: maximum number of worker processes.
        progress: called with the number of finished jobs and the number of all jobs.

    Returns:
        The rows of all jobs, in the order of the jobs.
    """
    rows = read_rows(path)
    missing = [job for job in jobs if job.id not in rows]
    known = len(jobs) - len(missing)
    progress(known, len(jobs))
    path.parent.mkdir(parents=True, exist_ok=True)
    _end_last_line(path)
    if missing:
        # Not "fork": the child of a multithreaded process may inherit a held lock and deadlock on it.
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
