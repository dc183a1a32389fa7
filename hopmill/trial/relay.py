"""Relays datagrams between all pairs of members; drops, delays, duplicates and reorders them by a seed."""

from __future__ import annotations

import asyncio
import os
import random
import socket
from collections import Counter

from hopmill.standin.server import HOST

# The address that couriers listen at. No other program or parallel trial uses it, so that a port that was
# free when it was drawn is still free when the courier binds it.
COURIER_HOST = f"127.{2 + os.getpid() // 250 % 250}.{os.getpid() % 250}.2"
MAX_DATAGRAMS_PER_WAKEUP = 256
BUFFER_BYTES = 1 << 20


class Relay:
    """Has one socket for each receiver and recognises the sender by its source port."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.member_ports: list[int] = []  # at which members listen
        self.relay_ports: list[int] = []  # to which the others send for each member
        self.sockets: list[socket.socket] = []
        self.sender_by_port: dict[int, int] = {}
        self.loss = self.repeat = self.delay_s = 0.0
        # (sender, receiver): number of faults that cut the path
        self.cut_counts: Counter[tuple[int, int]] = Counter()
        self.passed = self.dropped = 0

    def open(self, ports: list[int]) -> None:
        """ports: at which each member listens."""
        self.member_ports = ports
        loop = asyncio.get_running_loop()
        for number, port in enumerate(ports):
            receiver_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            receiver_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            receiver_socket.bind((HOST, 0))
            self.sockets.append(receiver_socket)
            self.relay_ports.append(receiver_socket.getsockname()[1])
            self.sender_by_port[port] = number
            loop.add_reader(receiver_socket, self._readable, number)

    def _readable(self, receiver: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, (_, port) = self.sockets[receiver].recvfrom(2048)
            except OSError:
                return
            sender = self.sender_by_port.get(port, -1)
            if self.cut_counts[sender, receiver] > 0 or self.rng.random() < self.loss:
                self.dropped += 1
                continue
            for _ in range(1 + (self.rng.random() < self.repeat)):
                self.passed += 1
                if self.delay_s:
                    delay_s = self.rng.uniform(0, self.delay_s)
                    asyncio.get_running_loop().call_later(delay_s, self._send, receiver, data)
                else:
                    self._send(receiver, data)

    def _send(self, receiver: int, data: bytes) -> None:
        try:
            self.sockets[receiver].sendto(data, (COURIER_HOST, self.member_ports[receiver]))
        except OSError:  # the member is down: the datagram is lost
            self.dropped += 1

    def cut(self, paths: list[tuple[int, int]], is_cut: bool) -> None:
        """Cuts or restores paths (sender, receiver); one that several faults cut opens with the last."""
        for path in paths:
            self.cut_counts[path] += 1 if is_cut else -1

    def close(self) -> None:
        """Closes all sockets."""
        for receiver_socket in self.sockets:
            asyncio.get_running_loop().remove_reader(receiver_socket)
            receiver_socket.close()
