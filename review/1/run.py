"""The store turns one front away for some seconds; a replica that leaves meanwhile must stay gone at the others."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standins as s  # noqa: E402

ROUNDS = 6
AWAY_S = 4.0          # platform_down for some machines: share .35 (here 1 of 3), up to 9 s in the site file
START_GAP_S = 0.015   # all machines start within 0.3 s of each other
CLIENTS = 12
WORK_S = 0.2
PAUSE_BEFORE_S = 0.5   # nobody books from this long before a replica leaves
PAUSE_AFTER_S = 2.3    # until this long after it has left
EXIT_AFTER_S = 2.5     # a leaving replica serves on for drain_ms "and a little longer", and then exits
BACK_AFTER_S = 0.35    # after the replica has left, the store serves the machine again


class Door:
    """The way of one front to the store, which can be turned away (reset) while others are served."""

    def __init__(self, store, name):
        self.store, self.name = store, name
        self.is_shut = False
        self.writers = set()

    async def start(self, ip):
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        self.server = server

    def shut(self):
        self.is_shut = True
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.is_shut:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await self.store.serve(reader, writer, self.name)
        finally:
            self.writers.discard(writer)


async def case(record, work, fronts):
    store = s.Store(record)
    await store.start(s.loopback_ip(1))
    store.put("config", "main", s.config(7, [
        s.route("book", "non_idempotent", timeout_ms=3000, public=True)]))

    late, lost = [], []
    left = {}

    async def handler(replica, line, headers, body, writer):
        attempt = headers["x-sesamehaven-attempt-id"]
        replica.run(headers)
        if replica.name in left:
            sent_after = sent_at[attempt] - left[replica.name]
            record(f"{attempt} was sent {sent_after:.3f} s after {replica.name} had left the store")
            if sent_after > s.BOUNDS["drain_ms"] / 1000:
                late.append((attempt, replica.name, sent_after))
        await asyncio.sleep(WORK_S)
        await replica.reply(writer, headers, 200, b"done")

    sent_at = {}
    fleet = []
    list_read = asyncio.Event()

    def on_message(who, line):
        """The front that the store serves all the while has read the list of replicas."""
        if line.startswith("GET /v1/objects/servers"):
            last_read[who] = record.now()
            if who == "front-a-1":
                behind = last_read[who] - last_read.get("front-a-2", 0)
                record(f"front-a-1 reads the list {behind * 1000:.0f} ms after front-a-2")
        if who == "front-a-2" and line.startswith("GET /v1/objects/servers"):
            acknowledged = [name for name in left if name not in known_to_second]
            for name in acknowledged:
                known_to_second[name] = record.now()
                record(f"front-a-2 reads the list without {name}")
            list_read.set()

    store.on_message = on_message
    known_to_second, last_read = {}, {}

    async def add_replica():
        replica = s.Replica(store, record, f"i-{len(fleet)}", handler)
        fleet.append(replica)
        await replica.start()
        return replica

    for _ in range(4):
        await add_replica()

    ips = [s.loopback_ip(n) for n in (2, 3, 4)]
    ports, doors = None, []
    for n, ip in enumerate(ips):
        door = Door(store, f"front-a-{n + 1}")
        await door.start(s.loopback_ip(10 + n))
        doors.append(door)
        front = s.Front(record, f"front-a-{n + 1}", ip, door, work, seeds=ips, ports=ports)
        ports = front.ports
        fronts.append(front)
    # The first front reads the store soon after the second one.
    fronts[2].start()
    fronts[1].start()
    await list_read.wait()
    await asyncio.sleep(START_GAP_S)
    fronts[0].start()
    for front in fronts:
        await front.wait_ready()

    stop = asyncio.Event()
    is_busy = asyncio.Event()
    is_busy.set()

    async def client(n, front):
        """Sends one booking after the other, while it is busy, to a front that nothing disturbs."""
        reader, writer = await asyncio.open_connection(front.ip, front.front)
        count = 0
        while not stop.is_set():
            await is_busy.wait()
            count += 1
            attempt = f"c{n}-{count}"
            sent_at[attempt] = record.now()
            writer.write(s.request_head("POST", "/book/1", attempt, 4, 3000) + b"book")
            answer = await s.read_message(reader)
            status = answer[0].split(" ")[1] if answer else "no answer"
            if status != "200":
                record(f"client gets {status} to {attempt}")
            if status in ("502", "504", "no answer"):
                lost.append(attempt)
            if answer is None:
                reader, writer = await asyncio.open_connection(front.ip, front.front)
            await asyncio.sleep(0.01)
        writer.close()

    clients = [asyncio.create_task(client(n, fronts[1 + n % 2])) for n in range(CLIENTS)]
    await asyncio.sleep(s.BOUNDS["stable_ms"] / 1000)
    for round_no in range(ROUNDS):
        newest = await add_replica()
        await asyncio.sleep(1.5)
        if s.TROUBLE:
            record(f"round {round_no}: the store turns {fronts[0].name} away")
            doors[0].shut()
        await asyncio.sleep(AWAY_S - BACK_AFTER_S - PAUSE_BEFORE_S)
        # For some seconds nobody books.
        is_busy.clear()
        await asyncio.sleep(PAUSE_BEFORE_S)
        list_read.clear()
        await list_read.wait()
        # It never reports that it drains: its entry is removed, and it serves on.
        leaving = fleet[round_no]
        leaving.beats.cancel()
        leaving.is_leaving = True
        asyncio.get_running_loop().call_later(EXIT_AFTER_S, leaving.exit)
        store.remove("servers", leaving.name)
        left[leaving.name] = record.now()
        record(f"replica {leaving.name} leaves: its entry is removed")
        await asyncio.sleep(BACK_AFTER_S)
        doors[0].is_shut = False
        if s.TROUBLE:
            record(f"round {round_no}: the store serves {fronts[0].name} again")
        await asyncio.sleep(PAUSE_AFTER_S - BACK_AFTER_S)
        is_busy.set()
        await asyncio.sleep(4.5 - PAUSE_AFTER_S + BACK_AFTER_S)
        if newest.name in left:
            raise s.CannotRun("too few replicas")
    stop.set()
    is_busy.set()
    await asyncio.gather(*clients)
    for attempt, name, after in late[:5]:
        record.say(f"{attempt} reached {name}, sent {after:.3f} s after it had left")
    record.say(f"{len(lost)} bookings were lost when a replica that had left came to its end")
    record.say(f"{len(late)} requests reached replicas from a machine in touch, sent later than drain_ms "
               f"after these had left")
    return len(late) > 0


if __name__ == "__main__":
    sys.exit(s.main(case, FOLDER, seconds=115))
