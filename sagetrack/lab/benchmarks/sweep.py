"""Many runs: over seeds and settings, on all cores, resumable; and two sets of runs compared by pairs.

Results are JSON lines, one a run, in the order of the plan. A run that stands in the file already is not
played again, so that a sweep which was cut off goes on where it stopped.
"""

from __future__ import annotations

import hashlib
import itertools
import json
import math
import multiprocessing
import signal
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from sagetrack.lab.analysis.figures import Figures, figures
from sagetrack.lab.analysis.judges import judge
from sagetrack.lab.model.scenario import Scenario, altered


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
        plain = json.dumps(
            [msgspec.to_builtins(self.scenario), self.settings, self.seed, self.fault],
            sort_keys=True,
            default=str,
        )
        return hashlib.blake2b(plain.encode(), digest_size=8).hexdigest()


def plan(scenario: Scenario, seeds: range, settings: dict[str, list[Any]], fault: str = "") -> list[Job]:
    """All combinations; `checked.FileError` for a setting that a scenario does not have."""
    jobs = []
    for values in itertools.product(*settings.values()):
        chosen = tuple(zip(settings, values, strict=True))
        changed = altered(scenario, dict(chosen)) if chosen else scenario
        jobs += [Job(changed, chosen, seed, fault) for seed in seeds]
    return jobs


def play(job: Job) -> dict[str, Any]:
    """One run in virtual time, as a line of results."""
    from sagetrack.lab.virtual.simulation import play as play_virtual

    started = time.perf_counter()
    records = play_virtual(job.scenario, job.seed, fault=job.fault)
    made: Figures = figures(records, job.scenario, judge(records, job.scenario))
    return {
        "id": job.id,
        "scenario": job.scenario.name,
        "settings": dict(job.settings),
        "seed": job.seed,
        **made.plain(),
        "wall_s": round(time.perf_counter() - started, 3),
    }


def done(path: Path) -> dict[str, dict[str, Any]]:
    """Runs that a file of results holds; a last line that was cut short is left out."""
    found: dict[str, dict[str, Any]] = {}
    if path.exists():
        for line in path.read_text().splitlines():
            try:
                row = json.loads(line)
                found[row["id"]] = row
            except (ValueError, KeyError, TypeError):
                continue
    return found


def _quiet() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent ends the workers


def sweep(
    jobs: list[Job], path: Path, workers: int, progress: Callable[[int, int], None] = lambda at, of: None
) -> list[dict[str, Any]]:
    """Play what is not there yet and append it; returns all rows in the order of the plan."""
    known = done(path)
    left = [job for job in jobs if job.id not in known]
    progress(len(jobs) - len(left), len(jobs))
    path.parent.mkdir(parents=True, exist_ok=True)
    if path.exists() and not path.read_bytes().endswith(b"\n") and path.stat().st_size:
        with path.open("a") as file:
            file.write("\n")  # a line that was cut short stays one of its own
    if left:
        # Not by plain forks: a child of a process with threads may wait for a lock that it was born with.
        with (
            path.open("a") as file,
            multiprocessing.get_context("forkserver").Pool(min(workers, len(left)), _quiet) as pool,
        ):
            for number, row in enumerate(pool.imap(play, left), 1):
                file.write(json.dumps(row) + "\n")
                file.flush()
                known[row["id"]] = row
                progress(len(jobs) - len(left) + number, len(jobs))
    return [known[job.id] for job in jobs]


def rows_of(path: Path) -> Iterator[dict[str, Any]]:
    """The rows of a file of results; ValueError if there are none."""
    rows = list(done(path).values())
    if not rows:
        raise ValueError(f"{path}: no results")
    return iter(rows)


# Quantiles of Student's t for 95 in 100, both sides, by degrees of freedom (standard tables).
T95 = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
    2.080,
    2.074,
    2.069,
    2.064,
    2.060,
    2.056,
    2.052,
    2.048,
    2.045,
    2.042,
)


@dataclass(slots=True, frozen=True)
class Difference:
    """B less A over pairs of one seed each."""

    figure: str
    pairs: int
    mean_a: float
    mean_b: float
    difference: float
    half_width: float  # of the 95% confidence interval
    better: int  # pairs in which B is larger

    @property
    def is_clear(self) -> bool:
        """Whether the interval leaves out 0."""
        return self.pairs > 1 and abs(self.difference) > self.half_width


def compare(a: Path, b: Path, figure: str = "service") -> Difference:
    """Compare two files of results by pairs of the same scenario and seed; ValueError if no pair is found."""
    first = {(row["scenario"], row["seed"]): row for row in rows_of(a)}
    second = {(row["scenario"], row["seed"]): row for row in rows_of(b)}
    pairs = sorted(first.keys() & second.keys(), key=str)
    if not pairs:
        raise ValueError(f"{a} and {b} have no scenario and seed in common")
    values = []
    for pair in pairs:
        try:
            values.append((float(first[pair][figure]), float(second[pair][figure])))
        except (KeyError, TypeError):
            raise ValueError(f"{figure} is no figure of these results") from None
    differences = [y - x for x, y in values]
    count = len(differences)
    spread = statistics.stdev(differences) if count > 1 else math.inf
    quantile = T95[count - 2] if 2 <= count <= len(T95) + 1 else 1.96
    return Difference(
        figure,
        count,
        statistics.fmean(x for x, _ in values),
        statistics.fmean(y for _, y in values),
        statistics.fmean(differences),
        quantile * spread / math.sqrt(count),
        sum(d > 0 for d in differences),
    )
