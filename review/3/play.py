"""A heartbeat of a server that got no answer is done 5.8 s later, after the server has said that it is draining."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from world import Box, Server, Store, ask, now, play, request_bytes, status_of, wait_ready

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
BOXES = 3
CLIENTS_PER_BOX = 4
WORK_S = 0.1

CONFIGURATION = json.dumps({
    "version": 3,
    "services": [{"name": "desk"}],
    "routes": [{
        "name": "booking", "host": "h.example", "path_prefix": "/booking/", "kind": "non_idempotent",
        "timeout_ms": 2500, "goal_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
    "tenants": [{"name": "clinic", "api_keys": ["key-1"]}],
}).encode()


def acknowledged_at(store, offset):
    """When the last box had been answered a read that holds the record at this offset."""
    first = {}
    for at, reader, topic, end in store.answered_reads:
        if topic == "keyed.servers" and end > offset:
            first.setdefault(reader, at)
    return sorted(first.values())[BOXES - 1]


async def send_requests(box, number, answers):
    count = 0
    while True:
        attempt = f"{box.name}-{number}-{count}"
        count += 1
        answers[attempt] = status_of(await ask(box.port, request_bytes(attempt, "/booking/1", "key-1", deadline_ms=2500)))
        await asyncio.sleep(0.03)


async def main(folder, record, boxes):
    store = Store(1)
    await store.listen()
    store.append("keyed.op", "config", CONFIGURATION)
    leaving, staying = Server(store, "i-1", "desk", WORK_S), Server(store, "i-2", "desk", WORK_S)
    beats = {}
    for server in (leaving, staying):
        await server.listen()
        beats[server] = asyncio.create_task(server.beat(HEARTBEAT_S))
    for number in range(BOXES):
        boxes.append(Box(folder, f"b{number + 1}", store, zone=f"hall-{number + 1}"))
        boxes[-1].start()
    for box in boxes:
        await wait_ready(box)
    answers = {}
    clients = [asyncio.create_task(send_requests(box, number, answers))
               for box in boxes for number in range(CLIENTS_PER_BOX)]
    await asyncio.sleep(4)

    lost_heartbeat, lost_at = leaving.entry(), now()
    record.note("i-1 sends a heartbeat (ready) and gets no answer; the store does it 5.8 s later")
    await asyncio.sleep(3.2)

    leaving.state = "draining"
    beats[leaving].cancel()
    offset = leaving.register()
    beats[leaving] = asyncio.create_task(leaving.beat(HEARTBEAT_S))
    record.note("i-1 says draining; the store has taken it")
    await asyncio.sleep(lost_at + 5.8 - now())

    if HAS_TROUBLE:
        store.append("keyed.servers", leaving.name, lost_heartbeat)
        record.note("the heartbeat without an answer is done")
    await asyncio.sleep(0.7)

    beats[leaving].cancel()
    leaving.end()
    record.note("i-1 ends, 3.3 s after it said draining")
    await asyncio.sleep(2)
    for client in clients:
        client.cancel()

    acknowledged = acknowledged_at(store, offset)
    record.note("the last box was answered a read with the draining entry", acknowledged)
    late = [(at, attempt) for at, attempt, _ in leaving.ran if at > acknowledged + DRAIN_S]
    for at, attempt, _ in leaving.ran:
        if at > acknowledged:
            record.note(f"i-1 runs {attempt}; its client got {answers.get(attempt, 0)}", at)
    unanswered = [attempt for _, attempt in late if answers.get(attempt, 0) != 200]
    record.note(f"sent {len(answers)}, answered 200: {sum(status == 200 for status in answers.values())}")
    record.note(f"requests that reached i-1 more than {DRAIN_S} s after the acknowledgement: {len(late)}")
    record.note(f"of them run and not answered with success: {len(unanswered)}")
    return 1 if late else 0


play(main)
