"""`sagetrack lab …`: scenarios played, swept over, compared, drawn; what a request costs."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from sagetrack.cli.overload import jams
from sagetrack.cli.slow_start import cold
from sagetrack.cli.soak import soak

if TYPE_CHECKING:
    from sagetrack.lab.figures import Figures
    from sagetrack.lab.judges import Violation
    from sagetrack.lab.records import Records
    from sagetrack.lab.scenario import Scenario

app = typer.Typer(
    help="Play a whole fleet on this machine, in real or in virtual time.", no_args_is_help=True
)

app.command("cold")(cold)
app.command("jams")(jams)
app.command("soak")(soak)

INTERRUPTED = 130
SHOWN = 10  # violations that are printed

SetOption = Annotated[
    list[str] | None, typer.Option("--set", help="another value, as in load.use=0.7; may be given again")
]


def fail(line: str) -> typer.Exit:
    """Say in one line why a command cannot go on; exit 2."""
    print(f"sagetrack: {line}", file=sys.stderr)
    return typer.Exit(2)


def judged(wrong: list[str]) -> typer.Exit:
    """Print the first of what was wrong; exit 1 if anything was."""
    for line in wrong[:SHOWN]:
        print(line)
    return typer.Exit(1 if wrong else 0)


def value_of(text: str) -> Any:
    """A value as TOML writes it; anything else is a text."""
    import tomllib

    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text


def settings_of(pairs: list[str] | None) -> dict[str, str]:
    found = {}
    for pair in pairs or []:
        name, mark, value = pair.partition("=")
        if not mark or not name:
            raise fail(f"--set {pair}: the form is key=value, as in load.use=0.7")
        found[name.strip()] = value.strip()
    return found


@contextmanager
def bar(what: str, quiet: bool) -> Iterator[Callable[[float], None]]:
    """A progress bar on standard error, where that is a terminal."""
    if quiet or not sys.stderr.isatty():
        yield lambda share: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn, TimeRemainingColumn

    columns = (TextColumn(what), BarColumn(), TaskProgressColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(what, total=1.0)
        yield lambda share: progress.update(task, completed=share)


def scenario_from(path: str, settings: list[str] | None) -> Scenario:
    from sagetrack.lab.scenario import altered, load

    scenario = load(path)
    chosen = {name: value_of(value) for name, value in settings_of(settings).items()}
    return altered(scenario, chosen) if chosen else scenario


@app.command("list")
def list_scenarios(folder: Annotated[str, typer.Argument(help="where they lie")] = "") -> None:
    """Scenarios, a line each."""
    from sagetrack.lab.scenario import load

    place = Path(folder) if folder else Path(__file__).resolve().parent.parent.parent / "scenarios"
    paths = sorted(place.glob("*.toml"))
    if not paths:
        raise fail(f"{place}: no scenarios there")
    for path in paths:
        print(f"{path.stem:16} {load(path).about}")


@app.command("run")
def run(
    scenario: Annotated[str, typer.Argument(help="a scenario's file")],
    virtual: Annotated[bool, typer.Option("--virtual", help="on a simulated clock, without sockets")] = False,
    seed: Annotated[int, typer.Option(help="what random figures follow from", min=0)] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="one JSON object as the last line")] = False,
    settings: SetOption = None,
    records_file: Annotated[
        str, typer.Option("--records", help="write all records here (.jsonl or .gz)")
    ] = "",
    plot: Annotated[str, typer.Option(help="draw the run here (.png or .svg)")] = "",
    fault: Annotated[str, typer.Option(help="a deliberate fault of the gateways; with --virtual")] = "",
) -> None:
    """Play a scenario and judge it; exit 0 only if no rule is broken and every expectation holds."""
    from sagetrack.lab.faults import FAULTS
    from sagetrack.lab.figures import figures
    from sagetrack.lab.judges import judge

    played = scenario_from(scenario, settings)
    if fault and fault not in FAULTS:
        raise fail(f"--fault {fault}: allowed are {', '.join(FAULTS)}")
    if fault and not virtual:
        raise fail("--fault needs --virtual")
    sample_s = 0.25 if plot else 0.0
    try:
        if virtual:
            from sagetrack.lab.virtual import play as play_virtual

            with bar(played.name, as_json) as tell:
                try:
                    records: Records = play_virtual(played, seed, tell, sample_s, fault)
                except ValueError as error:
                    raise fail(str(error)) from None
        else:
            records = play_real(played, seed, as_json, sample_s)
    except KeyboardInterrupt:
        print("sagetrack: ended; nothing is left running", file=sys.stderr)
        raise typer.Exit(INTERRUPTED) from None
    violations = judge(records, played)
    made = figures(records, played, violations)
    try:
        if records_file:
            records.write(records_file)
        if plot:
            from sagetrack.lab.plots import draw

            draw(records, plot)
    except (OSError, ValueError) as error:
        raise fail(f"the run is played, but cannot be written: {error}") from None
    if as_json:
        header = {name: records.header[name] for name in ("scenario", "seed", "driver")}
        extra = {k: v for k, v in records.header.items() if k.startswith("gateway_")}
        shown = [str(violation) for violation in violations[:SHOWN]]
        extra |= {"http_service": round(made.service, 4)} if made.dns_queries else {}
        extra |= {"service_by_member": {name: round(part, 4) for name, part in made.by_member.items()}}
        print(json.dumps({**header, **made.plain(), **extra, "violations": shown}))
    else:
        show(played, made, violations, records)
    raise typer.Exit(0 if not violations and made.expect_held and not made.late else 1)


def play_real(scenario: Scenario, seed: int, quiet: bool, sample_s: float) -> Records:
    """Play in real time behind a bar; one plain line and exit 2 if the lab cannot."""
    from sagetrack.lab.real import LabError, play

    try:
        with bar(scenario.name, quiet) as tell:
            return play(scenario, seed, lambda share, world: tell(share), sample_s)
    except LabError as error:
        raise fail(str(error)) from None


def show(scenario: Scenario, made: Figures, violations: list[Violation], records: Records) -> None:
    """The figures for people."""
    from rich.console import Console
    from rich.table import Table

    out = Console()
    table = Table(title=f"{scenario.name}, seed {records.header['seed']}, {records.header['driver']} time")
    for column in ("", "service"):
        table.add_column(column, justify="right" if column else "left")
    table.add_row("all", f"{made.service:.3f}")
    for name, share in made.by_class.items():
        table.add_row(f"class {name}", f"{share:.3f}")
    for name, share in made.by_member.items():
        table.add_row(f"member {name}", f"{share:.3f}")
    table.add_row("worst 5 s", f"{made.worst_window:.3f}")
    out.print(table)
    for violation in violations[:SHOWN]:
        out.print(f"[red]broken[/red] {violation}", highlight=False)
    if len(violations) > SHOWN:
        out.print(f"and {len(violations) - SHOWN} more")
    for words in made.expect_missed:
        out.print(f"[red]missed[/red] {words}", highlight=False)
    if made.late:
        out.print("[red]late[/red] the load ran late: this run is not to be scored", highlight=False)
    print(verdict(made))


def verdict(made: Figures) -> str:
    """A run in one line."""
    broken = sum(made.rules_broken.values())
    held = "expectations held" if made.expect_held else "expectations missed"
    return (
        f"{made.requests} calls: {made.served} served, {made.too_late} too late, {made.refused} refused, "
        f"{made.failed + made.unanswered} failed; p50 {made.p50_ms:.0f} ms, p99 {made.p99_ms:.0f} ms; "
        f"{broken} rules broken; {held}"
    )


@app.command("sweep")
def sweep(
    scenario: Annotated[list[str], typer.Argument(help="scenarios' files")],
    out: Annotated[str, typer.Option(help="results, a JSON line for each run; goes on where it stopped")],
    seeds: Annotated[str, typer.Option(help="how many, from 1; or FIRST-LAST")] = "10",
    settings: Annotated[
        list[str] | None,
        typer.Option("--set", help="values to try, as in load.use=0.5,0.7; all combinations"),
    ] = None,
    workers: Annotated[int, typer.Option(help="processes; 0: one a core", min=0)] = 0,
    fault: Annotated[str, typer.Option(help="a deliberate fault of the gateways")] = "",
) -> None:
    """Play scenarios over seeds and settings in virtual time, on all cores."""
    from sagetrack.lab import sweep as sweeps
    from sagetrack.lab.scenario import load

    first, mark, last = seeds.partition("-")
    try:
        numbers = range(int(first), int(last) + 1) if mark else range(1, int(first) + 1)
    except ValueError:
        raise fail(f"--seeds {seeds}: the form is 10 or 3-12") from None
    if not numbers:
        raise fail(f"--seeds {seeds}: there are none")
    values = {name: [value_of(v) for v in text.split(",")] for name, text in settings_of(settings).items()}
    jobs = [job for path in scenario for job in sweeps.plan(load(path), numbers, values, fault)]
    try:
        with bar("sweep", False) as tell:
            rows = sweeps.sweep(
                jobs, Path(out), workers or len(os.sched_getaffinity(0)), lambda at, of: tell(at / max(1, of))
            )
    except KeyboardInterrupt:
        print(
            f"sagetrack: ended; what was played stands in {out}, and the same call goes on", file=sys.stderr
        )
        raise typer.Exit(INTERRUPTED) from None
    except OSError as error:
        raise fail(f"{out}: {error.strerror}") from None
    groups: dict[str, list[dict[str, Any]]] = {}
    for row in rows:
        chosen = " ".join(f"{name}={value}" for name, value in row["settings"].items())
        groups.setdefault(f"{row['scenario']} {chosen}".strip(), []).append(row)
    broken = 0
    for name, mine in groups.items():
        service = [row["service"] for row in mine]
        rules = sum(sum(row["rules_broken"].values()) for row in mine)
        held = sum(row["expect_held"] for row in mine)
        broken += rules
        print(
            f"{name}: {len(mine)} runs, service {sum(service) / len(service):.4f} "
            f"({min(service):.4f} to {max(service):.4f}), {rules} rules broken, expectations held in {held}"
        )
    raise typer.Exit(1 if broken else 0)


@app.command("compare")
def compare(
    a: Annotated[str, typer.Argument(help="results of a sweep")],
    b: Annotated[str, typer.Argument(help="results of another, with seeds in common")],
    figure: Annotated[str, typer.Option(help="which figure")] = "service",
) -> None:
    """Compare two sweeps by pairs of one seed, with a 95% confidence interval."""
    from sagetrack.lab.sweep import compare as compare_files

    try:
        found = compare_files(Path(a), Path(b), figure)
    except (OSError, ValueError) as error:
        raise fail(str(error)) from None
    word = "clear" if found.is_clear else "within the noise"
    print(
        f"{found.figure}: A {found.mean_a:.4f}, B {found.mean_b:.4f}, B - A {found.difference:+.4f} "
        f"± {found.half_width:.4f} over {found.pairs} pairs ({found.better} with B larger): {word}"
    )


@app.command("throughput")
def throughput(
    servers: Annotated[str, typer.Option(help="numbers of servers")] = "8,64,400",
    seconds: Annotated[float, typer.Option(help="of each measurement", min=0.5, max=600)] = 3.0,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    build: Annotated[
        list[str] | None, typer.Option(help="another checkout to measure beside this one; may be given again")
    ] = None,
    newer: Annotated[bool, typer.Option("--newer", help="servers of the newer format too")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="one JSON array as the last line")] = False,
) -> None:
    """Measure what a request costs on one core, against a bare relay on the same core in the same run."""
    from sagetrack.lab.real import ROOT, LabError
    from sagetrack.lab.throughput import measure, summary

    try:
        sizes = [int(size) for size in servers.split(",")]
    except ValueError:
        raise fail(f"--servers {servers}: the form is 8,64,400") from None
    if not sizes or min(sizes) < 1 or max(sizes) > 5000:
        raise fail(f"--servers {servers}: each is from 1 to 5000")
    builds = [ROOT, *(Path(path).resolve() for path in build or [])]
    for path in builds:
        if not any((path / name).is_dir() for name in ("sagetrack", "cloverkeel")):
            raise fail(f"--build {path}: no gateway there")
    try:
        with bar("throughput", as_json) as tell:
            rows = summary(measure(sizes, seconds, rounds, builds, lambda at, of: tell(at / of), newer))
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    if as_json:
        print(json.dumps(rows))
    else:
        from rich.console import Console
        from rich.table import Table

        table = Table(title=f"one core, {rounds} rounds of {seconds:g} s")
        for name in rows[0]:
            table.add_column(name.replace("_", " "), justify="left" if name == "what" else "right")
        for row in rows:
            name = Path(row["what"]).name
            table.add_row(name, *(str(value) for key, value in row.items() if key != "what"))
        Console(width=150).print(table)
    raise typer.Exit(1 if any(row["late"] for row in rows) else 0)


@app.command("membership")
def membership(
    gateways: Annotated[str, typer.Option(help="sizes of the fleet")] = "8,50",
    loss: Annotated[str, typer.Option(help="shares of datagrams that are lost")] = "0,0.05,0.2",
    seeds: Annotated[int, typer.Option(help="runs of each", min=1, max=1000)] = 3,
    seconds: Annotated[float, typer.Option(help="played after the death", min=5, max=3600)] = 60.0,
) -> None:
    """Play membership in virtual time: how soon a death is known, who is wrongly declared, what it costs."""
    from sagetrack.lab.membership import death, partition

    try:
        sizes = [int(size) for size in gateways.split(",")]
        losses = [float(share) for share in loss.split(",")]
    except ValueError:
        raise fail("--gateways and --loss are lists of numbers, as in 8,50 and 0,0.05") from None
    if min(sizes) < 2 or not all(0 <= share < 1 for share in losses):
        raise fail("--gateways are from 2, --loss from 0 to below 1")
    print("gateways  loss  known after (median, p99)  missed  false deaths  sent/s (most)  bytes/s  healed")
    with bar("membership", False) as tell:
        for number, (size, share) in enumerate((size, share) for size in sizes for share in losses):
            runs = [death(size, seed, share, seconds) for seed in range(1, seeds + 1)]
            healed = [partition(size, seed, share).healed_s for seed in range(1, seeds + 1)]
            middle = sorted(run.median_s for run in runs)[len(runs) // 2]
            last = max(run.p99_s for run in runs)
            missed, false = sum(run.missed for run in runs), sum(run.false_deaths for run in runs)
            sent = sum(run.sent_per_s for run in runs) / len(runs)
            size_s = sum(run.bytes_per_s for run in runs) / len(runs)
            most = max(run.most_per_s for run in runs)
            heal = "never" if min(healed) < 0 else f"{max(healed):.1f} s at most"
            print(
                f"{size:8}  {share:4.2f}  {middle:8.1f} s, {last:.1f} s  {missed:13}  {false:12}  "
                f"{sent:6.1f} ({most:.1f})  {size_s:7.0f}  {heal}",
                flush=True,
            )
            tell((number + 1) / (len(sizes) * len(losses)))


@app.command("dns")
def dns(
    seconds: Annotated[float, typer.Option(help="of each measurement", min=0.5, max=600)] = 3.0,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    names: Annotated[int, typer.Option(help="names to keep in one more run, 0: none", min=0)] = 0,
) -> None:
    """Measure DNS queries a second on one core, cached and forwarded, against a bare UDP relay."""
    from sagetrack.lab.dnsthroughput import measure as measure_dns
    from sagetrack.lab.real import LabError

    try:
        with bar("dns", False) as tell:
            rows = measure_dns(seconds, rounds, names, lambda at, of: tell(at / of))
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"one core, {rounds} rounds of {seconds:g} s")
    for name in rows[0]:
        table.add_column(name.replace("_", " "), justify="left" if name == "what" else "right")
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console().print(table)


@app.command("together")
def together(
    share: Annotated[float, typer.Option(help="of what passes alone, each", min=0.01, max=1)] = 0.5,
    seconds: Annotated[float, typer.Option(help="of each measurement", min=1, max=600)] = 10.0,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    json_: Annotated[bool, typer.Option("--json", help="as one JSON object")] = False,
) -> None:
    """Measure DNS and HTTP on one gateway with one slow server of each, alone and together."""
    from sagetrack.lab.mixed_protocols import measure as measure_both
    from sagetrack.lab.real import LabError

    try:
        with bar("together", json_) as tell:
            found = measure_both(share, seconds, rounds, tell)
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    if json_:
        print(json.dumps(found))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"alone: HTTP {found['capacity_http']}/s, DNS {found['capacity_dns']}/s")
    for name in found["rows"][0]:
        table.add_column(name.replace("_", " "), justify="right")
    for row in found["rows"]:
        table.add_row(*(str(value) for value in row.values()))
    Console().print(table)


@app.command("forge-dns")
def forge_dns(
    rate: Annotated[int, typer.Option(help="forged answers a second", min=100, max=20_000)] = 1000,
    seconds: Annotated[float, typer.Option(help="for how long", min=1, max=600)] = 10.0,
) -> None:
    """Send a gateway forged answers beside the true ones; exit 1 if one of them reaches a client."""
    from sagetrack.lab.dns_spoofing import forge
    from sagetrack.lab.real import LabError

    try:
        with bar("forge", False) as tell:
            found = forge(rate, seconds, tell)
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    print(
        f"{found.sent} forged answers, {found.sent / found.seconds:.0f} a second: {found.false} accepted; "
        f"{found.true} of {found.asked} queries answered truly"
    )
    raise typer.Exit(1 if found.false else 0)


@app.command("door")
def door(
    clients: Annotated[str, typer.Option(help="numbers of clients")] = "10,1000,50000",
    calls: Annotated[int, typer.Option(help="of each round", min=100, max=10_000_000)] = 10_000,
    rounds: Annotated[int, typer.Option(help="of each, by turns", min=1, max=100)] = 3,
    memory_kb: Annotated[int, typer.Option(help="the door's bound", min=64)] = 16 * 1024,
    load: Annotated[float, typer.Option(help="times what the servers can do", min=0.01, max=100.0)] = 2.0,
) -> None:
    """Measure what fair queues cost, in a crowd or in calm: time of a call, memory."""
    from sagetrack.lab.fair_queue_benchmark import measure as measure_door

    try:
        sizes = [int(size) for size in clients.split(",")]
    except ValueError:
        raise fail(f"--clients {clients}: numbers with commas, as in 10,1000") from None
    if min(sizes) < 1:
        raise fail(f"--clients {clients}: each is at least 1")
    try:
        with bar("door", False) as tell:
            rows = measure_door(sizes, calls, rounds, memory_kb, tell, load)
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"{rounds} rounds of {calls} calls at {load:g} times what the servers do")
    for name in rows[0]:
        table.add_column(name.replace("_", " "), justify="right")
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console(width=150).print(table)


@app.command("bodies")
def bodies(
    streams: Annotated[int, typer.Option(help="calls under way at once", min=1, max=5000)] = 1000,
    body_kb: Annotated[int, typer.Option(help="of each body, both ways", min=1, max=32_000)] = 1000,
) -> None:
    """Measure the gateway's memory while long bodies pass to and from servers of the newer format."""
    from sagetrack.lab.bodies import measure as measure_bodies
    from sagetrack.lab.real import LabError

    try:
        with bar("bodies", False) as tell:
            found = measure_bodies(streams, body_kb, tell)
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    print(
        f"{found.whole} of {found.streams} calls whole in {found.seconds} s, {found.body_kb} kB each way; "
        f"memory {found.idle_mb} MB idle, {found.sending_mb} while bodies came, {found.peak_mb} at the most: "
        f"{found.each_kb} kB a call"
    )
    raise typer.Exit(0 if found.whole == found.streams else 1)


@app.command("fuzz-h2")
def fuzz_h2(
    frames: Annotated[int, typer.Option(help="about how many", min=1)] = 100_000,
    seed: Annotated[int, typer.Option(help="what is spoilt follows from it", min=0)] = 1,
    front: Annotated[bool, typer.Option("--front", help="the clients' side, not the back")] = False,
) -> None:
    """Feed mutated HTTP/2 frames to the back; exit 1 if any breaks it or an attempt does not end once."""
    from sagetrack.grpc.fuzz import fuzz_downstream, fuzz_upstream

    try:
        with bar("fuzz", False) as tell:
            found = (fuzz_downstream if front else fuzz_upstream)(frames, seed, tell)
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    print(
        f"{found.frames} frames: {found.answered} {'calls answered' if front else 'answers taken'}, "
        f"{found.failed} {'given up by clients' if front else 'attempts failed'}, "
        f"{found.closed} connections closed, {len(found.wrong)} wrong, slowest {found.slowest_ms:.2f} ms"
    )
    raise judged(found.wrong)


@app.command("fuzz-dns")
def fuzz_dns(
    messages: Annotated[int, typer.Option(help="how many", min=1)] = 100_000,
    seed: Annotated[int, typer.Option(help="what is spoilt follows from it", min=0)] = 1,
) -> None:
    """Feed mutated DNS messages to the reader; exit 1 if any breaks it or passes for what it is not."""
    from sagetrack.lab.dnsfuzz import fuzz

    try:
        with bar("fuzz", False) as tell:
            found = fuzz(messages, seed, tell)
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    print(
        f"{found.messages} messages: {found.queries_read} read as queries, "
        f"{found.answers_taken} taken as answers, {len(found.wrong)} wrong, slowest {found.slowest_ms:.2f} ms"
    )
    raise judged(found.wrong)


@app.command("restart")
def restart(
    scenario: Annotated[str, typer.Argument(help="a scenario in which a gateway dies")],
    seeds: Annotated[int, typer.Option(help="how many, from 1", min=1, max=1000)] = 10,
    virtual: Annotated[bool, typer.Option("--virtual", help="on a simulated clock")] = False,
    lanes: Annotated[int, typer.Option(help="runs at once in real time", min=1, max=64)] = 3,
    settings: SetOption = None,
) -> None:
    """Measure what a restart costs in a gateway's first 10 s, with and without the others' help."""
    from sagetrack.lab import restart as restarts
    from sagetrack.lab.records import read as read_records

    played = scenario_from(scenario, settings)

    def real(variant: Scenario, seed: int) -> Records:
        """In a process of its own: signals and event loops belong to main threads."""
        import subprocess
        import tempfile

        import msgspec

        with tempfile.TemporaryDirectory(prefix="sagetrack-lab-") as folder:
            file, out = Path(folder) / "scenario.json", Path(folder) / "records.gz"
            plain = msgspec.to_builtins(variant)
            if plain["expect"].get("p99_ms_max") is None:
                plain["expect"].pop("p99_ms_max", None)
            file.write_text(json.dumps(plain))
            words = ["lab", "run", str(file), "--seed", str(seed), "--records", str(out), "--json"]
            done = subprocess.run([sys.executable, "-m", "sagetrack", *words], capture_output=True, text=True)
            if done.returncode not in (0, 1) or not out.exists():
                raise RuntimeError(done.stderr.strip().splitlines()[-1] if done.stderr else "no records")
            if json.loads(done.stdout.splitlines()[-1])["late"]:
                raise RuntimeError(f"seed {seed} ran late: lower --lanes")
            return read_records(out)

    try:
        from sagetrack.lab.virtual import play as play_virtual

        play = play_virtual if virtual else real
        with bar("restart", False) as tell:
            made = restarts.pairs(played, range(1, seeds + 1), play, 1 if virtual else lanes, tell)
    except (ValueError, RuntimeError) as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    for line in restarts.summary(made):
        print(line)
    raise typer.Exit(1 if any(one.broken for one in made) else 0)


@app.command("readiness")
def readiness(
    rounds: Annotated[int, typer.Option(help="of each case", min=1, max=100)] = 3,
    only: Annotated[str, typer.Option(help="cases whose name contains this")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="a JSON line for each case")] = False,
) -> None:
    """Measure CPU time from a gateway's start to ready; exit 1 if a quarter of a core is too little."""
    from sagetrack.lab.readiness import CASES, MOST_S, measure, nine_in_ten
    from sagetrack.lab.real import LabError

    cases = tuple(case for case in CASES if only in case.name)
    if not cases:
        raise fail(f"--only {only}: no case has that in its name")
    slow = False
    try:
        with bar("readiness", as_json) as tell:
            for one in measure(rounds, cases, tell):
                slow |= one.quarter_s > MOST_S
                cpu, elapsed = nine_in_ten(one.cpu_s), nine_in_ten(one.elapsed_s)
                if as_json:
                    row = {"case": one.case.name, "starts": len(one.cpu_s), "cpu_s": cpu}
                    row |= {"quarter_s": one.quarter_s, "elapsed_s": elapsed, "parts": one.parts}
                    print(json.dumps(row), flush=True)
                    continue
                print(
                    f"{one.case.name}: {len(one.cpu_s)} starts, nine in ten within {cpu:.2f} s of CPU "
                    f"({one.quarter_s:.1f} s on a quarter of a core), {elapsed:.1f} s elapsed\n"
                    f"    {one.parts}",
                    flush=True,
                )
    except LabError as error:
        raise fail(str(error)) from None
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    raise typer.Exit(1 if slow else 0)


@app.command("plot")
def plot(
    records_file: Annotated[str, typer.Argument(help="records that `lab run --records` wrote")],
    out: Annotated[str, typer.Argument(help="a .png or .svg")],
) -> None:
    """Draw a run from its records."""
    from sagetrack.lab.plots import draw
    from sagetrack.lab.records import read

    try:
        draw(read(records_file), out)
    except (OSError, ValueError) as error:
        raise fail(str(error)) from None
    print(out)


import sagetrack.cli.scale  # noqa: E402, F401  (its commands register themselves)
