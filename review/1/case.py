"""Case 1: a POST that offers an upgrade is run with an empty body, and its client is told 200."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    AddressServer,
    Agent,
    Gateway,
    Message,
    Record,
    ask,
    request_head,
    run_case,
    settings,
    trouble,
)

SERVERS = 9
REQUESTS = 60
CLASSES = ("registrar-envio", "corregir", "alta-lote")
WORK_S = 0.03
# What a client sends that would also speak HTTP/2 (RFC 7540, 3.2); a server may ignore it (RFC 9110, 7.8).
OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"


async def case(record: Record) -> bool:
    """Send requests, every second one with the offer, and compare what was run with what was sent."""
    sent: dict[str, bytes] = {}
    changed: list[str] = []

    async def run(message: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        id_ = message.headers["x-call-id"]
        same = message.body == sent[id_]
        record(
            f"run      {id_} {message.first!r} body of {len(message.body)} bytes, "
            f"{'as' if same else 'NOT as'} sent"
        )
        if not same:
            changed.append(id_)
        await asyncio.sleep(WORK_S)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        return True

    servers = [AddressServer(f"s-{number}", run) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent([server.entry() for server in servers])
    await agent.start()
    gateway = Gateway(agent, settings())
    served_changed = 0
    try:
        gateway.start()
        await gateway.wait_ready()
        for number in range(1, REQUESTS + 1):
            class_name = CLASSES[number % len(CLASSES)]
            body = b'{"calle": "Av. Los Leones %d", "comuna": "Providencia", "id": %d}' % (number, number)
            offers = trouble() and number % 2 == 0
            id_ = f"{number:016x}"
            sent[id_] = body
            head = request_head(class_name, number, len(body), 2500, OFFER if offers else "")
            record(
                f"sent     {id_} POST /{class_name} body of {len(body)} bytes"
                f"{', offers h2c' if offers else ''}"
            )
            answer = await ask(gateway.port, head, body)
            record(f"answered {id_} {answer.first if answer is not None else 'nothing'}")
            served_changed += answer is not None and answer.status == 200 and id_ in changed
    finally:
        gateway.end()
    line = f"{REQUESTS} requests; {len(changed)} run with another body, {served_changed} of them answered 200"
    record(line)
    print(line)
    return bool(changed)


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
