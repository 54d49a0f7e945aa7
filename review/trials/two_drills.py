"""A trial, not a case: two drills of the store in a row; a replica that is draining gets nothing more.

The second drill begins before the replica could write its entry again, as its report falls into it.
"""

import asyncio
import copy
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standins as s  # noqa: E402

AWAY_S = 0.3
BETWEEN_S = float(os.environ.get("BETWEEN_S", "0.8"))


async def case(record, work, fronts):
    store = s.Store(record)
    store.era = 1
    await store.start(s.loopback_ip(1))
    store.put("config", "main", s.config(7, [
        s.route("book", "non_idempotent", timeout_ms=3000, public=True)]))
    late, left, sent_at = [], {}, {}

    async def handler(replica, line, headers, body, writer):
        attempt = headers["x-sesamehaven-attempt-id"]
        replica.run(headers)
        if replica.name in left:
            after = sent_at[attempt] - left[replica.name]
            record(f"{attempt} was sent {after:.3f} s after {replica.name} was acknowledged as draining")
            if after > s.BOUNDS["drain_ms"] / 1000:
                late.append((attempt, replica.name, after))
        await asyncio.sleep(0.03)
        await replica.reply(writer, headers, 200, b"done")

    fleet = [s.Replica(store, record, f"i-{n}", handler) for n in range(4)]
    for replica in fleet:
        await replica.start()
    front = s.Front(record, "front-a-1", s.loopback_ip(2), store, work)
    fronts.append(front)
    front.start()
    await front.wait_ready()
    states = {replica.name: "ready" for replica in fleet}

    async def beat(replica):
        while True:
            await asyncio.sleep(1.2)
            if not store.is_down:
                replica.report(states[replica.name])
                record(f"{replica.name} reports {states[replica.name]}")

    for replica in fleet:
        replica.beats.cancel()
        replica.beats = asyncio.create_task(beat(replica))
    stop = asyncio.Event()

    async def client(n):
        reader, writer = await asyncio.open_connection(front.ip, front.front)
        count = 0
        while not stop.is_set():
            count += 1
            attempt = f"c{n}-{count}"
            sent_at[attempt] = record.now()
            writer.write(s.request_head("POST", "/book/1", attempt, 4, 3000) + b"book")
            if await s.read_message(reader) is None:
                return
            await asyncio.sleep(0.01)

    clients = [asyncio.create_task(client(n)) for n in range(6)]
    await asyncio.sleep(3.2)
    older = copy.deepcopy(store.objects)
    leaving = fleet[0]
    await asyncio.sleep(0.3)
    states[leaving.name] = "draining"
    leaving.report("draining")
    await asyncio.sleep(0.8)
    left[leaving.name] = record.now()
    record(f"{leaving.name} is acknowledged as draining")
    await asyncio.sleep(2.2)

    async def drill():
        store.is_down = True
        record("the store is away")
        await asyncio.sleep(AWAY_S)
        store.objects = copy.deepcopy(older)
        store.era += 1
        store.is_down = False
        record(f"the store is back, era {store.era}")

    # Each replica reports every 1.2 s, and writes its own state again when the store is back.
    number = leaving.sequence
    while leaving.sequence == number:
        await asyncio.sleep(0.01)
    record(f"{leaving.name} has reported")
    await drill()
    if s.TROUBLE:
        await asyncio.sleep(BETWEEN_S)
        await drill()
    await asyncio.sleep(4)
    stop.set()
    await asyncio.gather(*clients)
    record.say(f"{len(late)} requests reached a replica later than drain_ms after it was acknowledged as draining")
    return len(late) > 0


if __name__ == "__main__":
    sys.exit(s.main(case, FOLDER))
