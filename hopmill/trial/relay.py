"""Between every pair of members: datagrams that are lost, late, doubled, overtaken or cut off, by a seed."""

from __future__ import annotations

import asyncio
import os
import random
import socket
from collections import Counter

from hopmill.standin.server import HOST

# Where couriers hear: a port that is free there is taken by nobody else meanwhile, nor by another trial.
THERE = f"127.{2 + os.getpid() // 250 % 250}.{os.getpid() % 250}.2"
AT_ONCE = 256
BUFFER_BYTES = 1 << 20


class Relay:
    """One socket a receiver: whoever sends to it is known by the address that it sends from."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.inner: list[int] = []  # the members' own ports
        self.ports: list[int] = []  # where each is to be written to by the others
        self.socks: list[socket.socket] = []
        self.senders: dict[int, int] = {}
        self.loss = self.repeat = self.delay_s = 0.0
        self.cuts: Counter[tuple[int, int]] = Counter()  # ways (from, to), and how many faults cut each
        self.passed = self.dropped = 0

    def open(self, ports: list[int]) -> None:
        self.inner = ports
        loop = asyncio.get_running_loop()
        for number, port in enumerate(ports):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            sock.bind((HOST, 0))
            self.socks.append(sock)
            self.ports.append(sock.getsockname()[1])
            self.senders[port] = number
            loop.add_reader(sock, self._readable, number)

    def _readable(self, to: int) -> None:
        for _ in range(AT_ONCE):
            try:
                data, (_, port) = self.socks[to].recvfrom(2048)
            except OSError:
                return
            sender = self.senders.get(port, -1)
            if self.cuts[sender, to] > 0 or self.chance.random() < self.loss:
                self.dropped += 1
                continue
            for _ in range(1 + (self.chance.random() < self.repeat)):
                self.passed += 1
                if self.delay_s:
                    late = self.chance.uniform(0, self.delay_s)
                    asyncio.get_running_loop().call_later(late, self._send, to, data)
                else:
                    self._send(to, data)

    def _send(self, to: int, data: bytes) -> None:
        try:
            self.socks[to].sendto(data, (THERE, self.inner[to]))
        except OSError:  # nobody is there: a datagram that is lost
            self.dropped += 1

    def cut(self, ways: list[tuple[int, int]], on: bool) -> None:
        for way in ways:
            self.cuts[way] += 1 if on else -1

    def close(self) -> None:
        for sock in self.socks:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
