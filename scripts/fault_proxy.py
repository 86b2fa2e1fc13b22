"""TCP proxy in front of a control instance, with faults on its connections."""
import asyncio
import threading

CHUNK = 65536  # octets


class Connection:
    """The two sides of a proxied connection."""

    def __init__(self, writer):
        self.writers = [writer]
        self.silent = False
        self.powerless = False

    def abort(self):
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Passes connections on to the target, as the present faults allow."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.delay_s = 0.0
        self.refusing = False  # new connections are reset
        self.dropped = set()   # "in", "out": octets in that direction are lost
        self.connections = []
        self.powerless = []    # kept open, so that their callers see no end

    async def accept(self, reader, writer):
        connection = Connection(writer)
        if self.refusing:
            return connection.abort()
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.target)
        except OSError:
            return connection.abort()
        connection.writers.append(to_writer)
        self.connections.append(connection)
        await asyncio.gather(self.pump(reader, to_writer, "in", connection),
                             self.pump(to_reader, writer, "out", connection))
        self.connections.remove(connection)

    async def pump(self, reader, writer, direction, connection):
        try:
            while octets := await reader.read(CHUNK):
                # A connection that lost octets carries nothing more.
                connection.silent |= direction in self.dropped
                if connection.silent:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(octets)
                await writer.drain()
        except OSError:
            if not connection.powerless:
                connection.abort()
        if not connection.powerless:
            writer.close()

    def reset_all(self):
        for connection in list(self.connections):
            connection.abort()

    def silence_all(self):
        """Open connections carry nothing more; new ones work."""
        for connection in self.connections:
            connection.silent = True

    def lose_power(self):
        """Like silence_all(), and callers don't see that the target ends."""
        self.silence_all()
        for connection in self.connections:
            connection.powerless = True
        self.powerless += self.connections

    def heal(self):
        self.delay_s, self.refusing, self.dropped = 0.0, False, set()


class ProxyThread:
    """Runs the proxies on an event loop of their own."""

    def __init__(self, proxies):
        self.loop = asyncio.new_event_loop()
        ready = threading.Event()

        async def serve():
            for proxy in proxies:
                await asyncio.start_server(proxy.accept, *proxy.listen)
            ready.set()

        def run():
            self.loop.run_until_complete(serve())
            self.loop.run_forever()

        threading.Thread(target=run, daemon=True).start()
        ready.wait()

    def do(self, task, *arguments):
        """Runs a function of a proxy on the loop's thread."""
        self.loop.call_soon_threadsafe(task, *arguments)

    def finish(self, task, *arguments):
        """Like do(), and returns once it has run."""
        done = threading.Event()

        def run():
            task(*arguments)
            done.set()

        self.do(run)
        done.wait()
