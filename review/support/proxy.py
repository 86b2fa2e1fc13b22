"""A TCP proxy before the address that a target calls on its machine."""
import socket
import threading
import time


class Proxy(threading.Thread):
    """Passes connections on; `hold` decides for how long the bytes of a new one
    are on their way, in seconds. Bytes that were sent arrive also if their
    sender has closed the connection or has ended since."""

    def __init__(self, listen, to, hold):
        super().__init__(daemon=True)
        self.to, self.hold = to, hold
        self.listener = socket.create_server(listen, backlog=64)

    def run(self):
        while True:
            taken, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(taken,),
                             daemon=True).start()

    def serve(self, taken):
        seconds = self.hold()
        with taken:
            first = taken.recv(65536)
            if seconds:
                time.sleep(seconds)
            try:
                with socket.create_connection(self.to, timeout=5) as onward:
                    self.pass_on(taken, onward, first)
            except OSError:
                return

    @staticmethod
    def pass_on(taken, onward, octets):
        taken.settimeout(0.5)
        onward.settimeout(2.0)
        while octets:
            onward.sendall(octets)
            try:
                octets = taken.recv(65536) if b"\r\n\r\n" not in octets or \
                    octets.endswith(b"\r\n\r\n") and octets.startswith(b"PUT") \
                    else b""
            except socket.timeout:
                octets = b""
        while answer := onward.recv(65536):
            try:
                taken.sendall(answer)
            except OSError:
                return
