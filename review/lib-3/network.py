"""A deployment in which fronts can be cut off from one another."""
import asyncio

import standins as s


class Network(s.Deployment):
    """A deployment whose fronts reach each other through a proxy that can cut them off.

    Front i has the address NET.(10 i). It knows front j by NET.(10 j + i), where the proxy listens; what it sends
    there reaches front j from NET.(10 i + j), the address by which front j knows front i.
    """

    def __init__(self, folder, fronts):
        super().__init__(folder, fronts)
        self.net = s.loopback_ip().rsplit(".", 1)[0]
        self.cut = None
        self.udp = {}

    def ip(self, at, of=None):
        return f"{self.net}.{10 * at + (of or 0)}"

    def is_cut(self, a, b):
        return self.cut is not None and (a == self.cut) != (b == self.cut)

    async def start(self, config, replicas):
        await self.store.start()
        self.store.configure(config)
        self.replicas = replicas
        for replica in replicas:
            await replica.start()
        numbers = range(1, self.count + 1)
        pairs = [(i, j) for i in numbers for j in numbers if i != j]
        ips = [self.ip(i) for i in numbers] + [self.ip(j, i) for i, j in pairs]
        ports = []
        while len(ports) < 4:
            port = s.free_port(ips)
            if port not in ports:
                ports.append(port)
        self.port = ports[3]
        loop = asyncio.get_running_loop()
        for i, j in pairs:
            where = (self.ip(j, i), self.port)
            self.udp[i, j], _ = await loop.create_datagram_endpoint(lambda i=i, j=j: Datagrams(self, i, j),
                                                                    local_addr=where)
            await asyncio.start_server(lambda r, w, i=i, j=j: self.relay(i, j, r, w), *where)
        for i in numbers:
            seeds = [f"{self.ip(j, i) if j != i else self.ip(i)}:{ports[2]}" for j in list(numbers)[:3]]
            self.fronts.append(s.Front(self.record, self.temp, f"front-{i}", self.ip(i), ports, self.store, seeds,
                                       self.bounds))
        for front in self.fronts:
            front.start()
        for front in self.fronts:
            await front.wait_ready()

    async def relay(self, i, j, reader, writer):
        try:
            if self.is_cut(i, j):
                await reader.read()
                return
            to_reader, to_writer = await asyncio.open_connection(self.ip(j), self.port)

            async def pump(source, sink):
                while data := await source.read(65536):
                    if self.is_cut(i, j):
                        await asyncio.sleep(60)
                    sink.write(data)
                    await sink.drain()
                sink.write_eof()

            await asyncio.gather(pump(reader, to_writer), pump(to_reader, writer))
            s.closes(to_writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            s.closes(writer)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, net, i, j):
        self.net, self.i, self.j = net, i, j

    def datagram_received(self, data, source):
        net, i, j = self.net, self.i, self.j
        # A front may also hear of the addresses that others use; what it sends there is dropped.
        if source[0] == net.ip(i) and not net.is_cut(i, j):
            net.udp[j, i].sendto(data, (net.ip(j), net.port))
