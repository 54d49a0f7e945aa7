"""Small deployments for the cases: a configuration, replicas and fronts in three zones."""

import os

from standins import Front, Replica, Store, free_peer_port, loopback_ips

HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"


def route(name, kind, service, **fields):
    return {
        "name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "service": service,
        "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 0, "max_attempts": 2, "sticky": False,
        "public": False, **fields,
    }


def config(version, routes, tenants):
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": n, "health_check": "/health"} for n in sorted({r["service"] for r in routes})],
        "tenants": tenants,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000,
                   "idle_timeout_ms": 15000},
    }


class Deployment:
    """A store, replicas and fronts; zones are dealt in turn."""

    def __init__(self, record, directory, fronts):
        self.record, self.directory, self.fronts = record, directory, fronts
        self.replicas = []

    async def start(self, spec, services, front_count, bounds=None, seeds=None, seeds_from=0):
        """`services` has (name, replicas, slots, handler) for each service.

        The seeds are three fronts, from the one with the index `seeds_from` on, if none are given.
        """
        total = front_count + sum(s[1] for s in services) + 1
        ips = loopback_ips(total)
        self.front_ips, rest = ips[:front_count], iter(ips[front_count:])
        self.store = Store(self.record)
        await self.store.start(next(rest))
        self.store.put("config", "main", spec)
        for name, count, slots, handle in services:
            for n in range(count):
                replica = Replica(self.store, self.record, name, "abc"[n % 3], slots)
                replica.handle = handle
                await replica.start(next(rest))
                self.replicas.append(replica)
        port = free_peer_port(self.front_ips)
        seeds = seeds or [f"{ip}:{port}" for ip in self.front_ips[seeds_from:][:3]]
        for n, ip in enumerate(self.front_ips):
            self.fronts.append(Front(ip, "abc"[n % 3], port, seeds, self.store, self.directory, bounds))
        for front in self.fronts:
            front.start()
        for front in self.fronts:
            await front.wait_ready()
        self.record.both(f"{front_count} fronts and {len(self.replicas)} replicas run")
