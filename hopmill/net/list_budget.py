"""How the time until a change of the endpoint list binds is divided among the waits on the way of a list.

A change binds at the latest CHANGE_BOUND_S after discovery had it and could be reached. Each wait and
time-out of the watch takes its share of that time; what is left is for the answer. Once the time is used up
and an answer is still due, calls wait for it (`ListFreshness`).
"""

from __future__ import annotations

from dataclasses import dataclass

CHANGE_BOUND_S = 6.0
RELOAD_BOUND_S = 4.0  # after SIGHUP: until what discovery has at its new address binds
UPGRADE_BOUND_S = 2.0  # after an upgrade: the same, from the readiness of the new process on
HOLD_UP_S = 0.2  # a process may be held up for so long between two steps
CONNECT_TIMEOUT_S = 1.0
# The longest wait before discovery is asked again. If it comes back right after a refusal, the next question
# is accepted within CHANGE_BOUND_S.
MAX_RETRY_WAIT_S = CHANGE_BOUND_S - CONNECT_TIMEOUT_S - HOLD_UP_S
HEARTBEAT_INTERVAL_S = 2.0  # discovery sends an empty line on a watch while nothing changes
# Discovery is asked again beside a watch or a question that has been silent for so long.
SILENCE_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 1.2
START_HOLD_S = 1.0  # a new process calls nothing for so long while discovery refuses or can't be reached


@dataclass(frozen=True)
class AnswerPatience:
    """How long an answer that is due holds calls back, once the list is out of date.

    silent_s: while nothing arrives; discovery counts as down after it. total_s: in all.
    """

    silent_s: float
    total_s: float


# A server that all couriers ask may be slow. An agent answers at once, except while discovery is down.
SHARED_SERVER_PATIENCE = AnswerPatience(silent_s=CHANGE_BOUND_S, total_s=2 * CHANGE_BOUND_S)
AGENT_PATIENCE = AnswerPatience(silent_s=START_HOLD_S, total_s=2 * CHANGE_BOUND_S)
