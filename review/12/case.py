"""BUDGET: a request that crashes replicas is known no more after all fronts were killed."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import standins as s  # noqa: E402

KILLS = 3
FRONTS_DOWN_S = 1.0
IN_TOUCH_S = 3.6  # after the start of the last front; more than stable_ms
REPLICA_BACK_S = 2.0
SENDS = 3  # how often the request comes again in each life of the fronts
EVERY_S = 3.2  # more than stable_ms
CONFIG = {
    "version": 7,
    "routes": [{"name": "book", "host": "a.example", "path_prefix": "/book/", "kind": "non_idempotent",
                "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "core",
                "max_attempts": 1, "public": False}],
    "services": [{"name": "core", "health_check": "/health", "max_conns": 100, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["key-of-t1"], "priority": 1, "unit": "tokens",
                 "plain_tokens": 200, "rate_per_s": 164236, "burst": 164236}],
}
POISON = b'{"order":"that crashes"}'


async def scenario(d):
    back = []

    async def restart(replica):
        await asyncio.sleep(REPLICA_BACK_S)
        await replica.start()

    def on_run(replica, run):
        if run["body"] != POISON:
            return None
        back.append(asyncio.create_task(restart(replica)))
        return "crash"

    replicas = [s.Replica(d.record, d.store, "core", work_s=0.06, on_run=on_run) for _ in range(3)]
    await d.start(CONFIG, replicas)
    client = s.Client(d.record, "a.example")
    others = {"sent": 0, "served": 0}
    poison = []

    async def other_requests():
        number = 0
        while True:
            front = d.fronts[number % len(d.fronts)]
            number += 1
            others["sent"] += 1
            _, status, _ = await client.send(front, "POST", "/book/x", "key-of-t1", 3000,
                                             body=b'{"order":%d}' % number, note="other")
            others["served"] += status == 200
            await asyncio.sleep(0.2)

    usual = asyncio.create_task(other_requests())
    await asyncio.sleep(IN_TOUCH_S)
    for life in range(KILLS + 1):
        for number in range(SENDS):
            front = d.fronts[number % len(d.fronts)]
            attempt, status, _ = await client.send(front, "POST", "/book/x", "key-of-t1", 3000, body=POISON,
                                                   note="poison")
            poison.append((attempt, life, status))
            await asyncio.sleep(EVERY_S)
        if life == KILLS:
            break
        if s.TROUBLE:
            for front in d.fronts:
                front.kill()
            await asyncio.sleep(FRONTS_DOWN_S)
            for front in d.fronts:
                front.start()
            for front in d.fronts:
                await front.wait_ready()
        await asyncio.sleep(IN_TOUCH_S)
    usual.cancel()
    ids = {attempt for attempt, _, _ in poison}
    crashes = [run for run in d.runs() if run["id"] in ids]
    retries = []
    if len(crashes) >= 3:
        third = crashes[2]["at"]
        after = third + d.bounds["stable_ms"] / 1000
        reached = {run["id"] for run in crashes}
        retries = [i for i in ids if client.sent[i] > after and i in reached]
    d.record.add("result", crashes=len(crashes), retries_that_reached=len(retries), **others)
    print(f"{len(crashes)} crashes, {len(retries)} retries later than stable_ms after the third reached a "
          f"replica; others served {others['served']} of {others['sent']}")
    if len(retries) > 3:
        return [f"BUDGET: {len(retries)} retries of a request that crashes replicas reached one later than "
                "stable_ms after the third crash, 3 are allowed"]
    return []


s.play(FOLDER, 3, scenario)
