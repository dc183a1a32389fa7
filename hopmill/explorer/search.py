"""Runs the explorer on several cores and reports what it found."""

from __future__ import annotations

import os
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from hopmill.explorer import known_policy_schedules, known_schedules, policy, policy_mutants, simulation
from hopmill.explorer.mutants import planted
from hopmill.fleet.policy_member import PolicyMember
from hopmill.fleet.register import Register

SCHEDULES_PER_TASK = 2000  # that a process runs before it reports


def _explore_policies(
    first_seed: int, count: int, members: int, mutant: str
) -> tuple[int, list[simulation.FailingSchedule]]:
    return policy.explore(
        count, first_seed, members, policy_mutants.planted(mutant) if mutant else PolicyMember
    )


def _explore(
    first_seed: int, count: int, members: int, mutant: str
) -> tuple[int, list[simulation.FailingSchedule]]:
    return simulation.explore(count, first_seed, members, planted(mutant) if mutant else Register)


def search_policy(schedules: int, seed: int, members: int, cores: int, mutant: str) -> dict[str, Any]:
    """Explore changes of policy. A schedule that fails is reported by its seed, not shrunk.

    cores: 0 for all. mutant: name of a planted fault, "" for none.
    """
    policy_member_type = policy_mutants.planted(mutant) if mutant else PolicyMember
    started_s, run_count, violations = time.monotonic(), 0, []
    for name in known_policy_schedules.KNOWN_SCHEDULES:
        run_count += 1
        if violation := known_policy_schedules.find_violation(name, policy_member_type):
            violations.append({"known": name, "said": violation})
            schedules = 0
            break
    schedules_per_task = SCHEDULES_PER_TASK // 20
    tasks = [
        (task_seed, min(schedules_per_task, seed + schedules - task_seed))
        for task_seed in range(seed, seed + schedules, schedules_per_task)
    ]
    with ProcessPoolExecutor(cores or os.cpu_count() or 1) as pool:
        for count, failing in (
            pool.map(
                _explore_policies, *zip(*tasks, strict=True), [members] * len(tasks), [mutant] * len(tasks)
            )
            if tasks
            else ()
        ):
            run_count += count
            if failing:
                violations.append({"seed": failing[0].seed, "said": failing[0].violation})
                pool.shutdown(cancel_futures=True)
                break
    return {
        "schedules": run_count,
        "members": members,
        "mutant": mutant or None,
        "violations": violations,
        "seconds": round(time.monotonic() - started_s, 1),
    }


def search(schedules: int, seed: int, members: int, depth: int, cores: int, mutant: str) -> dict[str, Any]:
    """Explore register and leases. A schedule that fails is reported as short as it still fails.

    depth: run all schedules of three members up to so many steps, too. cores: 0 for all. mutant: name of a
    planted fault, "" for none.
    """
    register_type = planted(mutant) if mutant else Register
    started_s, run_count, states, violations = time.monotonic(), 0, 0, []
    for name in known_schedules.KNOWN_SCHEDULES:
        run_count += 1
        if violation := known_schedules.find_violation(name, register_type):
            violations.append({"known": name, "said": violation})
            schedules = depth = 0
            break
    tasks = [
        (task_seed, min(SCHEDULES_PER_TASK, seed + schedules - task_seed))
        for task_seed in range(seed, seed + schedules, SCHEDULES_PER_TASK)
    ]
    with ProcessPoolExecutor(cores or os.cpu_count() or 1) as pool:
        for count, failing in (
            pool.map(_explore, *zip(*tasks, strict=True), [members] * len(tasks), [mutant] * len(tasks))
            if tasks
            else ()
        ):
            run_count += count
            if failing:
                shortest = simulation.shrink(failing[0], members, register_type)
                violations.append(
                    {"seed": shortest.seed, "said": shortest.violation, "choices": shortest.choices}
                )
                pool.shutdown(cancel_futures=True)
                break
    if depth and not violations:
        exhaustive_count, states, violation = simulation.explore_exhaustively(depth, register_type)
        run_count += exhaustive_count
        violations += [{"depth": depth, "said": violation}] if violation else []
    return {
        "schedules": run_count,
        "states": states,
        "members": members,
        "mutant": mutant or None,
        "violations": violations,
        "seconds": round(time.monotonic() - started_s, 1),
    }
