"""The explorer on all cores, and its report."""

from __future__ import annotations

import os
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from hopmill.explorer import known, policy, policy_known, policy_mutants
from hopmill.explorer import world as explore
from hopmill.explorer.mutants import planted
from hopmill.fleet.govern import PolicyMember
from hopmill.fleet.register import Register

AT_ONCE = 2000  # schedules that a process runs before it reports


def _run_policy(first: int, count: int, members: int, mutant: str) -> tuple[int, list[explore.Found]]:
    return policy.explore(count, first, members, policy_mutants.planted(mutant) if mutant else PolicyMember)


def _run(first: int, count: int, members: int, mutant: str) -> tuple[int, list[explore.Found]]:
    return explore.explore(count, first, members, planted(mutant) if mutant else Register)


def search_policy(schedules: int, seed: int, members: int, cores: int, mutant: str) -> dict[str, Any]:
    """The same for changes of policy; a schedule that fails is told by its seed."""
    govern = policy_mutants.planted(mutant) if mutant else PolicyMember
    began, done, violations = time.monotonic(), 0, []
    for name in policy_known.PLAYS:
        done += 1
        if said := policy_known.violated(name, govern):
            violations.append({"known": name, "said": said})
            schedules = 0
            break
    at_once = AT_ONCE // 20
    rows = [(at, min(at_once, seed + schedules - at)) for at in range(seed, seed + schedules, at_once)]
    with ProcessPoolExecutor(cores or os.cpu_count() or 1) as pool:
        for count, found in (
            pool.map(_run_policy, *zip(*rows, strict=True), [members] * len(rows), [mutant] * len(rows))
            if rows
            else ()
        ):
            done += count
            if found:
                violations.append({"seed": found[0].seed, "said": found[0].violation})
                pool.shutdown(cancel_futures=True)
                break
    return {
        "schedules": done,
        "members": members,
        "mutant": mutant or None,
        "violations": violations,
        "seconds": round(time.monotonic() - began, 1),
    }


def search(schedules: int, seed: int, members: int, depth: int, cores: int, mutant: str) -> dict[str, Any]:
    """One line: what was run, and what was found with the shortest schedule that still fails."""
    register = planted(mutant) if mutant else Register
    began, done, states, violations = time.monotonic(), 0, 0, []
    for name in known.PLAYS:
        done += 1
        if said := known.violated(name, register):
            violations.append({"known": name, "said": said})
            schedules = depth = 0
            break
    rows = [(at, min(AT_ONCE, seed + schedules - at)) for at in range(seed, seed + schedules, AT_ONCE)]
    with ProcessPoolExecutor(cores or os.cpu_count() or 1) as pool:
        for count, found in (
            pool.map(_run, *zip(*rows, strict=True), [members] * len(rows), [mutant] * len(rows))
            if rows
            else ()
        ):
            done += count
            if found:
                short = explore.shrink(found[0], members, register)
                violations.append({"seed": short.seed, "said": short.violation, "choices": short.choices})
                pool.shutdown(cancel_futures=True)
                break
    if depth and not violations:
        every, states, said = explore.every(depth, register)
        done += every
        violations += [{"depth": depth, "said": said}] if said else []
    return {
        "schedules": done,
        "states": states,
        "members": members,
        "mutant": mutant or None,
        "violations": violations,
        "seconds": round(time.monotonic() - began, 1),
    }
