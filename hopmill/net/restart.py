"""A planned restart: from SIGTERM to the end of this process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hopmill import interface

if TYPE_CHECKING:
    from hopmill.net.host import Host

CLIENT_POLL_S = 0.02  # interval of closing idle clients until none is left
# In seconds from SIGTERM: new clients are accepted until LISTEN_UNTIL_S, calls may last until CALLS_UNTIL_S,
# incomplete requests are rejected at REJECT_AT_S, and the process ends at EXIT_AT_S.
LISTEN_UNTIL_S, CALLS_UNTIL_S, REJECT_AT_S, EXIT_AT_S = 0.5, 3.2, 3.3, 3.5


class Restart:
    """Ends the process in steps, without losing requests or calls. `closed` is set at the end."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.exit_at = 0.0  # when the process ends at the latest, on the loop's clock; 0 while it serves
        self.closed: asyncio.Future[None] = host.loop.create_future()

    def terminate(self) -> None:
        """Begin a planned restart; repeats change nothing.

        Clients that connect soon after are still served. What is not done by the end stays in the journal.
        """
        host = self.host
        if self.exit_at:
            return
        now = host.loop.time()
        self.exit_at = now + EXIT_AT_S
        if host.member_transport:
            host.member_transport.leave()
        host.post(interface.Closing(host.clock() + int(CALLS_UNTIL_S * 1e6)))
        host.loop.call_later(LISTEN_UNTIL_S, self._close_clients)
        host.loop.call_later(REJECT_AT_S, self._answer_and_reject)
        host.loop.call_later(EXIT_AT_S, self._exit)

    def _close_clients(self) -> None:
        host = self.host
        host.clients.stop_listening()
        host.clients.close_idle()
        if not host.clients.is_empty:
            host.loop.call_later(CLIENT_POLL_S, self._close_clients)
        self.maybe_exit()

    def _answer_and_reject(self) -> None:
        """Answer what has arrived, which would be lost unread at the exit, and reject incomplete requests."""
        if self.host.intake.arrived:
            self.host.turn()
        self.host.clients.reject_all()

    def maybe_exit(self) -> None:
        """End the process early if nothing is left to do and no client is connected."""
        host = self.host
        # Events and arrived messages may still lead to calls before the shutdown deadline.
        done = (
            not host.calls.in_flight
            and not host.journal.messages
            and not host.events
            and not host.intake.arrived
        )
        if self.exit_at and done and host.clients.is_empty and not host.clients.is_listening:
            self._exit()

    def _exit(self) -> None:
        if not self.closed.done():
            for number in self.host.calls.unwritten():  # cannot have run, so the next process may send them
                self.host.journal.record_not_run(number)
            self.host.journal.is_complete()
            self.closed.set_result(None)
