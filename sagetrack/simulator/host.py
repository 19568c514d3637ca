"""Runs load balancers under the simulator: batches of lines on stdin, one reply each on stdout.

Each instance has its own load balancer; instances share no state. This module makes no decisions. A line that
cannot be parsed is reported on stderr and skipped.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from typing import TextIO

from sagetrack.policy.events import EndpointList, Event, ListedServer, ListKind
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.parsing import ParseError, parse_settings
from sagetrack.simulator.wire import (
    LIST_KINDS,
    PARSERS,
    Fields,
    format_action,
    parse_server,
    split_line,
)

BATCH_END, REPLY_END = "go", "next\n"
MAX_REPORTED_LINE = 200  # characters of an invalid line that a report shows


class SimulatorHost:
    """Dispatches the simulator's lines to the load balancers of its instances."""

    def __init__(self, source: TextIO, sink: TextIO, errors: TextIO) -> None:
        self.source, self.sink, self.errors = source, sink, errors
        self.balancers: dict[str, LoadBalancer] = {}  # by instance name
        self.tables: dict[str, tuple[ListedServer, ...]] = {}  # endpoint lists, by table number
        self.instance = ""  # instance that the next lines address
        self.replying_instance = ""  # instance whose actions end the reply so far
        self.now_us = 0
        self.line_number = 0
        self.reply: list[str] = []
        self.commands: dict[str, Callable[[Fields], None]] = {
            "begin_batch": self._begin_batch,
            "instance": self._select_instance,
            "inventory": self._read_inventory,
            "registry": self._deliver_list,
            "launch": self._launch,
            "destroy": self._destroy,
        }

    def run(self) -> None:
        """Process lines until the source ends."""
        for line in self.source:
            self.line_number += 1
            line = line.rstrip("\r\n")
            try:
                self._process(line)
            except KeyError as error:
                self._report(line, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self._report(line, str(error))

    def _report(self, line: str, reason: str) -> None:
        text = f"sagetrack: line {self.line_number}: {reason}: {line[:MAX_REPORTED_LINE]}"
        print(text, file=self.errors, flush=True)

    def _process(self, line: str) -> None:
        if line == BATCH_END:
            self._finish_batch()
            return
        if not line:
            return
        name, fields = split_line(line)
        parser = PARSERS.get(name)
        if parser is not None:
            self._deliver(parser(fields))
            return
        command = self.commands.get(name)
        if command is not None:  # unknown messages are from later protocol versions and ignored
            command(fields)

    def _begin_batch(self, fields: Fields) -> None:
        self.reply, self.instance, self.replying_instance = [], "", ""
        self.now_us = int(fields["simTimeUs"])

    def _select_instance(self, fields: Fields) -> None:
        self.instance = ""  # after a malformed line, events must not reach the previous instance
        self.instance = fields["i"]

    def _deliver_list(self, fields: Fields) -> None:
        kind = LIST_KINDS[fields["how"]]
        servers = () if kind is ListKind.ERROR else self.tables[fields["table"]]
        self._deliver(EndpointList(kind, servers))

    def _launch(self, fields: Fields) -> None:
        self.balancers.pop(self.instance, None)
        if not self.instance:
            raise ParseError("launch without a preceding instance line")
        settings = parse_settings(fields["bootInfo"])
        self.balancers[self.instance] = LoadBalancer(settings, int(fields["prng"]))

    def _destroy(self, fields: Fields) -> None:
        if self.balancers.pop(self.instance, None) is None:
            raise ParseError(f"unknown instance '{self.instance}'")

    def _read_inventory(self, fields: Fields) -> None:
        members: list[ListedServer] = []
        for _ in range(int(fields["members"])):
            entry = self.source.readline()
            self.line_number += 1
            entry = entry.rstrip("\r\n")
            try:
                name, entry_fields = split_line(entry)
                if name != "host":
                    raise ParseError("not an endpoint list entry, which begins with host")
                members.append(parse_server(entry_fields))
            except KeyError as error:
                self._report(entry, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self._report(entry, str(error))
        self.tables[fields["table"]] = tuple(members)

    def _deliver(self, event: Event) -> None:
        balancer = self.balancers.get(self.instance)
        if balancer is None:
            raise ParseError(f"unknown instance '{self.instance}'")
        actions = balancer.handle(self.now_us, event)
        if not actions:
            return
        if self.replying_instance != self.instance:
            self.replying_instance = self.instance
            self.reply.append(f"by i={self.instance}")
        self.reply.extend(map(format_action, actions))

    def _finish_batch(self) -> None:
        self.reply.append(REPLY_END)
        self.sink.write("\n".join(self.reply))
        self.sink.flush()
        self.reply = []


def main() -> int:
    """Process standard input until it ends; return the exit status."""
    gc.freeze()  # imported objects are never garbage, so the collector can skip them
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")  # type: ignore[union-attr]
    SimulatorHost(sys.stdin, sys.stdout, sys.stderr).run()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
