"""QUOTA: a refund outlives the charge that it takes back."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "lib-3"))
import standins as s  # noqa: E402

RATE, BURST = 164_236, 164_236  # tokens, as in the pages' example of a configuration
TOKENS = (19_900, 100)
HOT_PER_S = 34  # 680,000 tokens a second: 7.5 times a usual rate of RATE / 1.8
SETTLE_S = 9.0  # longer than a quota window, so that all fronts know the usage
DOWN_S = 3.0
HOT_S = 12.0
CONFIG = {
    "version": 7,
    "routes": [{"name": "steps", "host": "a.example", "path_prefix": "/steps/", "kind": "streaming",
                "timeout_ms": 15000, "target_latency_ms": 1000, "target_gap_ms": 200, "priority": 2,
                "service": "pool", "max_attempts": 2, "public": False, "sticky": True, "resumable": True}],
    "services": [{"name": "pool", "health_check": "/health", "max_conns": 360, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["key-of-t1"], "priority": 1, "unit": "tokens",
                 "plain_tokens": 200, "rate_per_s": RATE, "burst": BURST}],
}


async def scenario(d):
    replicas = [s.Replica(d.record, d.store, "pool", work_s=0.03, is_streaming=True) for _ in range(6)]
    await d.start(CONFIG, replicas)
    client = s.Client(d.record, "a.example")
    charges = {}
    await asyncio.sleep(SETTLE_S)

    async def send(number):
        front = d.fronts[number % len(d.fronts)]
        attempt, _, _ = await client.send(
            front, "POST", "/steps/x", "key-of-t1", 15000, body=b"{}",
            fields=[("X-Sesamehaven-Model", "m"), ("X-Sesamehaven-Token-Usage", "%d,%d" % TOKENS),
                    ("X-Sesamehaven-Prompt-Prefix", f"{number:x}:{TOKENS[0]}")])
        charges[attempt] = sum(TOKENS)

    async def load():
        began, number, tasks = d.record.now(), 0, []
        while d.record.now() - began < HOT_S:
            tasks.append(asyncio.create_task(send(number)))
            number += 1
            await asyncio.sleep(max(0.0, began + number / HOT_PER_S - d.record.now()))
        await asyncio.gather(*tasks)

    async def trouble():
        if not s.TROUBLE:
            return
        for replica in replicas:
            replica.crash()
        await asyncio.sleep(DOWN_S)
        for replica in replicas:
            await replica.start()

    await asyncio.gather(load(), trouble())
    return s.quota_breaks(d, client, charges, RATE, BURST, d.bounds)


s.play(FOLDER, 3, scenario)
