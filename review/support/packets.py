"""Packets of the platform, by PROTOCOL.md, section "Packets"."""
import dataclasses
import socket
import struct
import zlib

HEAD = struct.Struct(">IIIIHBBHHII")
RST, FIN, SYN, ACK, BOUNCED = 1, 8, 16, 32, 64
SUM_KEY = b"key of the stand-ins"
RESET_RANGE = 76800  # a client takes a reset this near to its last ack


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(address):
    return socket.inet_ntoa(struct.pack(">I", address))


def is_near(left, right):
    distance = (left - right) % 2**32
    return min(distance, 2**32 - distance) <= RESET_RANGE


@dataclasses.dataclass(frozen=True)
class Packet:
    """The fields of a packet; `echo` and `pad` are 0 at both ends."""
    flags: int
    source: tuple
    destination: tuple
    seq: int = 0
    ack: int = 0
    data: bytes = b""

    def keyed_sum(self):
        """Over all fields but echo, pad and BOUNCED; never 0."""
        fields = struct.pack(
            ">IIHBHHII", self.seq, self.ack, len(self.data),
            self.flags & ~BOUNCED, self.source[1], self.destination[1],
            number(self.destination[0]), number(self.source[0]))
        return zlib.crc32(SUM_KEY + fields + self.data) | 1

    def encode(self):
        return HEAD.pack(self.seq, self.ack, 0, self.keyed_sum(),
                         len(self.data), self.flags, 0, self.source[1],
                         self.destination[1], number(self.destination[0]),
                         number(self.source[0])) + self.data

    @staticmethod
    def decode(octets):
        """The packet, and whether its sum is right."""
        (seq, ack, _, checked, size, flags, _, sport, dport, dst,
         src) = HEAD.unpack(octets[:HEAD.size])
        packet = Packet(flags, (text(src), sport), (text(dst), dport), seq,
                        ack, octets[HEAD.size:HEAD.size + size])
        return packet, checked == packet.keyed_sum()


def bounced(octets):
    """What a target returns because it does not hold the flow."""
    returned = bytearray(octets)
    returned[18] |= BOUNCED
    returned[19] = 0
    return bytes(returned)
