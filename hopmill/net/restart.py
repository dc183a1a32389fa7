"""A planned restart: from SIGTERM to the end of this process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hopmill import interface as i

if TYPE_CHECKING:
    from hopmill.net.host import Host

# In seconds from SIGTERM: new clients come until LISTEN_S, calls may last until CALLS_S. What is not whole at
# LAST_S is turned away, and has until EXIT_S to hear so.
LISTEN_S, CALLS_S, LAST_S, EXIT_S = 0.5, 3.2, 3.3, 3.5


class Restart:
    def __init__(self, host: Host) -> None:
        self.host = host
        self.closing_at = 0.0  # when the process ends, by the loop's clock; 0 while it serves
        self.closed: asyncio.Future[None] = host.loop.create_future()

    def terminate(self) -> None:
        """A planned restart: clients that still come are served, what is not done stays in the journal."""
        host = self.host
        if self.closing_at:
            return
        now = host.loop.time()
        self.closing_at = now + EXIT_S
        if host.member_transport:
            host.member_transport.leave()
        host.tell(i.Closing(host.clock() + int(CALLS_S * 1e6)))
        host.loop.call_later(LISTEN_S, self._stop_clients)
        host.loop.call_later(LAST_S, self._last_answers)
        host.loop.call_later(EXIT_S, self._exit)

    def _stop_clients(self) -> None:
        host = self.host
        host.clients.stop_listening()
        host.clients.close_idle()
        if not host.clients.empty:
            host.loop.call_later(0.02, self._stop_clients)
        self.maybe_exit()

    def _last_answers(self) -> None:
        """What has come is still answered: on the way out the kernel would drop it unread."""
        if self.host.intake.arrived:
            self.host.turn()
        self.host.clients.turn_all_away()

    def maybe_exit(self) -> None:
        host = self.host
        # What still waits for its turn may be sent until the last call must have begun.
        done = (
            not host.calls.in_flight and not host.journal.held and not host.events and not host.intake.arrived
        )
        if self.closing_at and done and host.clients.empty and not host.clients.listening:
            self._exit()

    def _exit(self) -> None:
        if not self.closed.done():
            for number in self.host.calls.unwritten():  # they can't have run: the next process may send them
                self.host.note(self.host.journal.missed, number)
            self.closed.set_result(None)
