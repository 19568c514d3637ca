"""An address server of the newer format whose long answer has a length that doesn't fit."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

import h2.config
import h2.connection
import h2.events

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins_2 import TROUBLE, Discovery, Gateway, Record, address_of, read_head, request, run_case

from sagetrack.grpc.calls_pb2 import Answer

CALLS = 20
SPOILT = {"c5", "c15"}  # one in ten answers is spoilt
BODY = 90_000  # bytes of an answer, over 64 KiB
SAID = 80_000  # the length that a spoilt answer states
PART = 10_000


def body_of(id_: str) -> bytes:
    """Return the answer that is made for a request: its id, over and over."""
    return (f"<{id_}>".encode() * BODY)[:BODY]


def framed(message: bytes) -> bytes:
    """Return a message with the prefix of gRPC."""
    return b"\0" + len(message).to_bytes(4, "big") + message


class NewerServer:
    """A server of the newer format (docs/protocol-2.md), one task for each connection."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record, self.address = name, record, ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.address = address_of(await asyncio.start_server(self._serve, "127.0.0.1", 0))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        connection.initiate_connection()
        ids: dict[int, str] = {}
        out: dict[int, bytes] = {}
        with contextlib.suppress(ConnectionError), contextlib.closing(writer):
            while True:
                writer.write(connection.data_to_send())
                data = await reader.read(65_536)
                if not data:
                    return
                for event in connection.receive_data(data):
                    self.on_event(connection, event, ids, out)
                for stream in list(out):
                    send_more(connection, stream, out)

    def on_event(
        self,
        connection: h2.connection.H2Connection,
        event: h2.events.Event,
        ids: dict[int, str],
        out: dict[int, bytes],
    ) -> None:
        """Note the id of a call, and begin its answer when it is whole."""
        if isinstance(event, h2.events.RequestReceived):
            ids[event.stream_id] = {text(n): text(v) for n, v in event.headers}.get("x-call-id", "")
        elif isinstance(event, h2.events.DataReceived):
            connection.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        elif isinstance(event, h2.events.StreamEnded):
            self.record(f"server {self.name}: got a call with id {ids[event.stream_id]}")
            head = [(":status", "200"), ("content-type", "application/grpc+proto")]
            connection.send_headers(event.stream_id, head)
            out[event.stream_id] = self.answer(ids[event.stream_id])
        elif isinstance(event, h2.events.StreamReset):
            out.pop(event.stream_id, None)

    def answer(self, id_: str) -> bytes:
        """Return the messages of an answer: 90,000 bytes, of which the first message states the length."""
        body = body_of(id_)
        first = Answer(body=body[:PART])
        first.length = SAID if TROUBLE and id_ in SPOILT else BODY
        rest = [Answer(body=body[at : at + PART]).SerializeToString() for at in range(PART, BODY, PART)]
        self.record(f"server {self.name}: answers {id_} with {BODY} bytes and states {first.length}")
        return b"".join(framed(message) for message in [first.SerializeToString(), *rest])


def text(value: bytes | str) -> str:
    """Return a header as text."""
    return value.decode() if isinstance(value, bytes) else value


def send_more(connection: h2.connection.H2Connection, stream: int, out: dict[int, bytes]) -> None:
    """Send as much of an answer as the windows allow, and the trailers behind it."""
    while out[stream]:
        size = min(connection.local_flow_control_window(stream), connection.max_outbound_frame_size)
        if size <= 0:
            return
        connection.send_data(stream, out[stream][:size])
        out[stream] = out[stream][size:]
    connection.send_headers(stream, [("grpc-status", "0")], end_stream=True)
    del out[stream]


async def ask(record: Record, address: tuple[str, int], id_: str) -> list[str]:
    """Send one request, and compare what the client takes for its answer with what was made for it."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request("buscar", id_))
    record(f"client: sent {id_}")
    try:
        async with asyncio.timeout(8.0):
            status, headers = await read_head(reader)
            if "content-length" in headers:
                body = await reader.readexactly(int(headers["content-length"]))
            else:
                body = b""
                while (size := int(await reader.readline(), 16)) > 0:
                    body += (await reader.readexactly(size + 2))[:-2]
            await asyncio.sleep(0.3)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    more = await reader.read(65_536)
                    record(f"client: behind the answer to {id_} come {len(more)} bytes more")
    except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
        record(f"client: {id_} has no whole answer ({type(error).__name__}): failed")
        return []
    finally:
        writer.close()
    right = body == body_of(id_)
    record(f"client: {id_} has a whole answer {status} of {len(body)} bytes, as made: {right}")
    if status != 200 or right:
        return []
    return [f"{id_} was served with {len(body)} bytes as a whole answer; {BODY} were made for it"]


async def case(record: Record, temporary: Path) -> list[str]:
    """Return the breaks of the rule."""
    discovery = Discovery()
    await discovery.start()
    for number in range(9):
        server = NewerServer(f"s{number}", record)
        await server.start()
        discovery.put(server.name, server.address, kind="v2", group=number // 5)
    gateway = Gateway(record, discovery, temporary=temporary, operator='[newer]\ntypes = ["v2"]\n')
    try:
        await gateway.wait_ready()
        breaks: list[str] = []
        for number in range(CALLS):
            breaks += await ask(record, gateway.host_port, f"c{number}")
        return breaks
    finally:
        gateway.end()


run_case(Path(__file__).resolve().with_name("record.txt"), case)
