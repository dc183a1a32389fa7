"""What a courier has its endpoint list from, with its faults: an agent on its machine, or a shared server."""

from __future__ import annotations

import asyncio
import copy
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

from hopmill.soak.surplus import SurplusSender
from hopmill.standin.discovery import Discovery
from hopmill.standin.server import answer

MUTE_TOLD_S = 6.0  # a silent watch counts as told of what it misses this long after it fell silent
POLL_S = 0.01  # interval at which a request waits for the end of a fault
CUT_ANSWER = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{"rev":9,"all"'


class Refusal(Enum):
    """How discovery refuses a watch."""

    STATUS = "status"
    RESET = "reset"
    CUT = "cut"  # in the middle of the answer's head


class Agent(Discovery):
    """Tells one courier what discovery has sent it.

    on_told: called with an endpoint that drains or is gone and the time from which that counts as told.
    on_told_later: called if the courier could not be told before this later time after all.
    on_listed: called when something of the list is written to the courier. surplus: follows some answers to
    notices. on_had: given for a shared server, on which a change binds some time after it had it, while an
    agent's changes bind at once; called with an endpoint that drains or is gone and the time. on_given_up:
    called when the courier closes a watch before its answer, and no newer one was answered.
    """

    def __init__(
        self,
        on_notice: Callable[[dict[str, Any]], None],
        on_told: Callable[[str, float], None],
        on_told_later: Callable[[str, float], None],
        on_listed: Callable[[], None],
        surplus: SurplusSender,
        on_had: Callable[[str, float], None] | None = None,
        on_given_up: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(on_notice)
        self.called, self.answered = surplus.called, surplus.answered
        self.on_told, self.on_told_later, self.on_listed = on_told, on_told_later, on_listed
        self.on_had, self.on_given_up = on_had, on_given_up
        self.asked = self.newest_answered = 0  # watches asked for, and the newest of them that was answered
        self.withdrawn: set[str] = set()  # uids that drain or are gone
        self.refusal: Refusal | None = None  # how watches are refused now
        self.is_down = False
        self.missed: list[dict[str, Any]] = []  # changes while it is down
        self.cuts = 0  # answers to come that end in the middle of the list
        self.mute_writers: dict[asyncio.StreamWriter, float] = {}  # since when nothing arrives (monotonic, s)
        self.unseen: set[str] = set()  # uids that drain or are gone, since the courier last got a list
        self.connects_fail_until_s = 0.0  # the courier can open no connection before (monotonic, s)
        self.last_written: dict[str, Any] = {"rev": 0, "targets": []}  # the list as the courier has it

    def learn(self, target: dict[str, Any]) -> None:
        """Take a change from discovery, and tell it unless the agent is down."""
        if self.is_down:
            self.missed.append(target)
            return
        self.rev += 1
        self.targets[target["uid"]] = target
        if target["state"] != "in_service":
            self._record_withdrawn(target["uid"])
        self.push({"rev": self.rev, "all": False, "targets": [target]})
        if target["state"] == "terminated":
            del self.targets[target["uid"]]

    def _record_withdrawn(self, uid: str) -> None:
        self.withdrawn.add(uid)
        if self.on_had:
            self.on_had(uid, time.monotonic())
        else:
            self._record_told(uid)

    def _record_told(self, uid: str) -> None:
        now_s = time.monotonic()
        open_watches = [writer for writer in self.watchers if not writer.is_closing()]
        mute_since = [self.mute_writers[writer] for writer in open_watches if writer in self.mute_writers]
        # A courier that follows a mute watch can't know before it opens another one.
        told_s = max(now_s, min(mute_since) + MUTE_TOLD_S) if mute_since else now_s
        if not open_watches:
            told_s = max(told_s, self.connects_fail_until_s)
            self.unseen.add(uid)
        self.on_told(uid, told_s)

    def note_failing_connects(self, until_s: float) -> None:
        """The courier can open no connection until then, so it can't be told of what it has not seen."""
        self.connects_fail_until_s = max(self.connects_fail_until_s, until_s)
        for uid in self.unseen:
            self.on_told_later(uid, until_s)

    def write_line(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        """Write a line unless the agent is down or the watch is mute."""
        if self.is_down or writer in self.mute_writers:
            return
        super().write_line(writer, text)
        if text:
            listed, withdrawn = copy.deepcopy(self.full_list()), set(self.withdrawn)
            self.when_due(writer, lambda: self._record_written(listed, withdrawn))

    def _record_written(self, listed: dict[str, Any], withdrawn: set[str]) -> None:
        """What the courier has been told by now is in force, however late it was written."""
        self.on_listed()
        self.unseen.clear()
        self.last_written = listed
        if self.on_had:
            for uid in withdrawn:
                self.on_told(uid, time.monotonic())

    async def _watch(self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while self.is_down:
            await asyncio.sleep(POLL_S)
        if reader.at_eof() or writer.is_closing():  # its courier has ended meanwhile
            return
        if self.refusal:
            self._refuse(writer, self.refusal)
            return
        if self.cuts > 0:
            self.cuts -= 1
            writer.write(CUT_ANSWER)
            return
        self.asked += 1
        number = self.asked
        watching = asyncio.ensure_future(super()._watch(path, reader, writer))
        await asyncio.sleep(0)  # it writes the list
        self.when_due(writer, lambda: self._record_answered(number))
        try:
            await watching
        finally:
            self.mute_writers.pop(writer, None)
            if self.newest_answered < number and not writer.is_closing():
                self.on_given_up()

    def _record_answered(self, number: int) -> None:
        self.newest_answered = max(self.newest_answered, number)

    def _refuse(self, writer: asyncio.StreamWriter, refusal: Refusal) -> None:
        if refusal is Refusal.STATUS:
            writer.write(answer(503))
        elif refusal is Refusal.CUT:
            writer.write(CUT_ANSWER)
        else:
            writer.transport.abort()

    # Faults

    async def be_refusing(self, refusal: Refusal, seconds: float) -> None:
        """End all connections and refuse new watches."""
        self.refusal = refusal
        self.drop()
        await asyncio.sleep(seconds)
        self.refusal = None

    async def be_down(self, seconds: float) -> None:
        """Be silent and learn nothing, then learn all that was missed."""
        if self.is_down:
            return
        self.is_down = True
        await asyncio.sleep(seconds)
        self._be_up()

    async def be_away(self, seconds: float) -> None:
        """Refuse connections, end the open ones and learn nothing, then learn all that was missed."""
        if self.is_down:
            return
        self.is_down = True
        await self.pause()
        await asyncio.sleep(seconds)
        await self.start()
        self._be_up()

    def _be_up(self) -> None:
        self.is_down = False
        missed, self.missed = self.missed, []
        for target in missed:
            self.learn(target)

    def cut(self, count: int) -> None:
        """End all connections; the next `count` answers to a watch end in the middle of the list."""
        self.cuts = count
        self.drop()

    def mute(self) -> None:
        """Let nothing more arrive on the watches that are open."""
        for writer in self.watchers:
            self.mute_writers.setdefault(writer, time.monotonic())
