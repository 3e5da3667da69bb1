"""A server is cut off from the store until its entry lapses, and is listed again. The box that the others of its failure
domain ask has just started again, and takes the new entry for a late one. When the server leaves, the others are not
told."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import deployment as d  # noqa: E402

SERVICE = "gigi-model"
PATH = "/lohu930/2f"
ZONE = "cyberjaya-a"
BOXES = 4
SERVERS = 5
CLIENTS_PER_BOX = 4
EVENTS = 6
EVENT_PAUSE_S = 0.1
DRAIN_S = d.BOUNDS["drain_ms"] / 1000
# A little longer than drain_ms, for which a server that left goes on.
LINGER_S = 1.5

d.ZONES = {ZONE: "klang-valley"}
d.BOUNDS.update({"revoke_strict": False, "retry_slack": 58, "retry_after_s": 10})


async def work(channel, request, attempt):
    server, writer = channel.server, channel.writer
    writer.write(d.encode("HTTP/1.1 200 OK", {
        "X-Attempt-Id": attempt, "X-Response-Stamp": server.stamp(attempt), "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked"}))
    for event in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_PAUSE_S)
        data = f"id: {event}\ndata: {attempt}\n\n".encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def call_until(client, is_over, sent):
    await asyncio.sleep(random.random())
    while not is_over():
        attempt = d.new_attempt()
        sent[attempt] = (client.box.name, time.monotonic())
        answer = await client.send(PATH, attempt, 6000, body=b"chair", headers={
            "X-Model": "m", "X-Token-Count": "826,30", "X-Prompt-Prefix": f"5c1e07a2:198,{attempt[:8]}:628"})
        is_served = answer is not None and answer.is_whole and d.status_of(answer) == 200
        sent[attempt] += (is_served,)
        await asyncio.sleep(0.02 if is_served else 0.3)


def asked_box(store):
    """The name of the box that others of the failure domain ask first, as it stands in the boxes' own topic."""
    newest = store.topics.get("keyed.relays", [b"\0"])[-1]
    for index in range(1, BOXES + 1):
        if f"front-{ZONE}-{index}".encode() in newest:
            return f"front-{ZONE}-{index}"
    raise d.CaseCouldNotRun("no box is asked by others")


async def until(moment):
    await asyncio.sleep(max(0, moment - time.monotonic()))


async def cut_off_and_restart(store, record, boxes, server):
    """Returns the boxes that were not disturbed."""
    first = next(box for box in boxes if box.name == asked_box(store))
    other = next(box for box in boxes if box is not first)
    await server.beat()
    reported_at = server.reported_at
    server.is_cut_off = True
    record.write(f"server    {server.name} is cut off from the store")
    await until(reported_at + 2.2)
    for box in (first, other):
        record.write(f"box       {box.name} is killed")
        await box.stop()
    await until(reported_at + 2.7)
    await asyncio.gather(*(box.start(is_first=False) for box in (first, other)))
    await until(reported_at + 3 * d.HEARTBEAT_S + 0.4)
    record.write(f"server    {server.name} reaches the store again, its entry had {'stayed' if server.name in store.listed else 'lapsed'}")
    server.is_cut_off = False
    await server.beat()


async def play(folder, record):
    store = d.Store()
    await store.start()
    servers = [d.Server(store, record, SERVICE, ZONE, work, slots=64) for _ in range(SERVERS)]
    tasks = []
    for server in servers:
        await server.start()
        tasks.append(asyncio.create_task(server.keep_beating()))
    await store.put("keyed.op", "config", d.configuration(
        7, [d.route("r-chair", "/lohu930/", "streaming", SERVICE, 15000, 600, 1)], [SERVICE]))
    boxes = [d.Box(folder, f"front-{ZONE}-{index}", ZONE, store, record) for index in range(1, BOXES + 1)]
    sent, ends = {}, []
    try:
        await asyncio.gather(*(box.start() for box in boxes))
        for box in boxes:
            await box.wait_ready()
        calls = [asyncio.create_task(call_until(d.Client(box, record), lambda: bool(ends), sent))
                 for box in boxes for _ in range(CLIENTS_PER_BOX)]
        await asyncio.sleep(8)
        leaving = servers[0]
        if d.TROUBLE:
            await cut_off_and_restart(store, record, boxes, leaving)
        # All boxes are in touch again: contact_ms is 3 s.
        await asyncio.sleep(9)
        await leaving.leave_without_draining()
        left_at = time.monotonic()
        record.write(f"server    {leaving.name} leaves, acknowledged by the store")
        await until(left_at + DRAIN_S + LINGER_S)
        record.write(f"server    {leaving.name} ends")
        leaving.end()
        await asyncio.sleep(2)
        ends.append(True)
        await asyncio.gather(*calls)
    finally:
        for task in tasks:
            task.cancel()
        for box in boxes:
            await box.stop()
    late = [run for run in leaving.runs if run.at > left_at + DRAIN_S]
    broken = []
    for run in late:
        box, sent_at, *is_served = sent[run.attempt]
        broken.append(f"DRAIN: {run.attempt}, sent to {box} {sent_at - left_at:.2f} s after the store acknowledged that "
                      f"{run.server} leaves, reached it {run.at - left_at:.2f} s after, "
                      f"{'served' if is_served and is_served[0] else 'its answer was cut'}")
    return broken


d.run_case(play, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
