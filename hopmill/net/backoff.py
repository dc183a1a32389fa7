"""Waits before discovery is asked again: jittered, longer after each failure, within a list's budget."""

from __future__ import annotations

import random
from dataclasses import dataclass

from hopmill.net.list_budget import MAX_RETRY_WAIT_S

# First and largest upper bound of a wait, in seconds.
AGENT_MAX_WAITS_S = (0.02, 0.1)  # an agent on this machine serves this courier only
SHARED_MAX_WAITS_S = (0.1, 1.0)  # times the couriers that ask the same server
MIN_WAIT_SHARE = 0.25  # of the upper bound, so that retries never spin
MIN_LONGEST_WAIT_SHARE = 0.75  # the same at the longest upper bound, so that a fleet asks seldom
# A watch that has worked is opened again after a wait up to this bound, times the couriers, in a range.
REOPEN_WAIT_PER_COURIER_S = 0.005
REOPEN_MAX_WAIT_RANGE_S = (0.3, 1.5)
MIN_REOPEN_WAIT_S = 0.02


class Backoff:
    """Exponential backoff with jitter."""

    def __init__(self, first_max_wait_s: float, longest_max_wait_s: float) -> None:
        self.first_max_wait_s, self.longest_max_wait_s = first_max_wait_s, longest_max_wait_s
        self.max_wait_s = first_max_wait_s
        self.is_first = True

    def next(self) -> float:
        """Return the next wait in seconds."""
        is_longest = not self.is_first and self.max_wait_s == self.longest_max_wait_s
        min_share = MIN_LONGEST_WAIT_SHARE if is_longest else MIN_WAIT_SHARE
        wait = random.uniform(self.max_wait_s * min_share, self.max_wait_s)
        self.max_wait_s = min(self.longest_max_wait_s, self.max_wait_s * 2)
        self.is_first = False
        return wait

    def reset(self) -> None:
        """Return to the first upper bound after a success."""
        self.max_wait_s = self.first_max_wait_s
        self.is_first = True


@dataclass(frozen=True)
class RetryWaits:
    """Waits before a watch is opened again.

    after_loss: it could not be opened, broke or could not be read. after_refusal: the server answered with
    another status than 200, as one does that is overloaded. reopen_max_s: upper bound of the wait after the
    loss of a watch that had worked. is_server_shared: other couriers ask it too.
    """

    after_loss: Backoff
    after_refusal: Backoff
    reopen_max_s: float
    is_server_shared: bool

    def reset(self) -> None:
        """Start again from the first upper bounds."""
        self.after_loss.reset()
        self.after_refusal.reset()

    def reopen(self) -> float:
        """Return the wait after a watch that had worked was lost: no sign of an overloaded server."""
        return random.uniform(MIN_REOPEN_WAIT_S, self.reopen_max_s)


def retry_waits(couriers: int, is_server_shared: bool) -> RetryWaits:
    """Return the waits of a courier.

    couriers: how many there are. is_server_shared: whether they all ask one server for the list; otherwise
    each has an agent on its own machine, to which discovery pushes the list.
    """
    after_refusal = shared_server_backoff(couriers)
    shortest_s, longest_s = REOPEN_MAX_WAIT_RANGE_S
    reopen_max_s = min(longest_s, max(shortest_s, couriers * REOPEN_WAIT_PER_COURIER_S))
    after_loss = shared_server_backoff(couriers) if is_server_shared else Backoff(*AGENT_MAX_WAITS_S)
    return RetryWaits(after_loss, after_refusal, reopen_max_s, is_server_shared)


def shared_server_backoff(couriers: int) -> Backoff:
    """Return the backoff after a failure of a server that all couriers ask.

    Waits grow with the number of couriers, so that all together retry as often as one alone would, as long as
    none outlasts its share of the time in which a change has to be learned.
    """
    return Backoff(*(min(MAX_RETRY_WAIT_S, wait_s * couriers) for wait_s in SHARED_MAX_WAITS_S))
