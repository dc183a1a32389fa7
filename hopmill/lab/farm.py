"""Runs seeds in parallel: one worker process per core, results in the order of the seeds."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from queue import Empty, SimpleQueue
from typing import Any

WORKER_SCRIPT = Path(__file__).with_name("worker.py")


class LabError(Exception):
    """An error for the user, in one line."""


@dataclass(frozen=True)
class Build:
    """What runs: a checkout's module (None: this one's), with some of its constants changed."""

    checkout: str | None = None
    constants: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Job:
    """A build on a scenario. changes: fields of the scenario, by path."""

    build: Build
    scenario: str
    couriers: int = 0
    changes: dict[str, Any] = field(default_factory=dict)
    with_details: bool = False

    def task(self) -> str:
        """The first line of input of a worker."""
        return json.dumps(
            {
                "checkout": self.build.checkout,
                "override": self.build.constants,
                "scenario": self.scenario,
                "couriers": self.couriers,
                "changes": self.changes,
                "more": self.with_details,
            }
        )


@contextmanager
def build(spec: str) -> Iterator[Build]:
    """Parses a build: a revision of this repository, a folder, or constants.

    Constants are given as `policy.pacing.GROW=0.2,policy.links.HALF=0.4`. A revision is checked out into a
    temporary worktree until the block ends. LabError: none of these.
    """
    if "=" in spec:
        pairs = dict(part.split("=", 1) for part in spec.split(","))
        yield Build(constants={k.strip(): v.strip() for k, v in pairs.items()})
    elif spec in ("", "."):
        yield Build()
    elif (Path(spec) / "hopmill").is_dir():
        yield Build(str(Path(spec).resolve()))
    else:
        with tempfile.TemporaryDirectory(prefix="hopmill-lab-") as folder:
            tree = Path(folder) / "tree"
            process = subprocess.run(
                ["git", "worktree", "add", "--quiet", "--detach", str(tree), spec],
                capture_output=True,
                text=True,
            )
            if process.returncode:
                raise LabError(f"{spec}: neither a revision, a folder nor settings")
            try:
                yield Build(str(tree))
            finally:
                subprocess.run(["git", "worktree", "remove", "--force", str(tree)], capture_output=True)


class Worker:
    """A process that runs seeds of one job."""

    def __init__(self, job: Job) -> None:
        self.process = subprocess.Popen(
            [sys.executable, str(WORKER_SCRIPT)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, **SINGLE_THREAD_ENVIRONMENT},
        )
        self._write_line(job.task())
        reply = self._read_line()
        if "error" in reply:
            raise LabError(reply["error"])

    def _write_line(self, line: str) -> None:
        assert self.process.stdin
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def _read_line(self) -> dict[str, Any]:
        assert self.process.stdout
        line = self.process.stdout.readline()
        if not line:
            raise LabError(f"a worker exited with code {self.process.wait()}")
        return json.loads(line)

    def play(self, seed: int) -> dict[str, Any]:
        """Runs one seed and returns its result. LabError if the process has ended."""
        self._write_line(str(seed))
        return self._read_line()

    def close(self) -> None:
        """Kills the process."""
        self.process.kill()
        self.process.wait()
        for pipe in (self.process.stdin, self.process.stdout):
            if pipe:
                pipe.close()


# Seeds run in parallel, so each worker uses one thread.
SINGLE_THREAD_ENVIRONMENT = {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}


def run(
    jobs: list[tuple[Job, int]], progress: Callable[[int, int], None] = lambda done, of: None, cores: int = 0
) -> Iterator[dict[str, Any]]:
    """Yields the results of (job, seed) in the order given. Closing it ends all workers.

    LabError if a worker fails.
    """
    cores = min(cores or os.cpu_count() or 1, len(jobs))
    waiting: SimpleQueue[int] = SimpleQueue()
    for index in range(len(jobs)):
        waiting.put(index)
    results: SimpleQueue[tuple[int, dict[str, Any] | BaseException]] = SimpleQueue()
    workers: list[Worker] = []
    is_closed = False

    def serve() -> None:
        own_workers: dict[int, Worker] = {}
        while not is_closed:
            try:
                index = waiting.get_nowait()
            except Empty:
                break
            job, seed = jobs[index]
            try:
                worker = own_workers.get(id(job))
                if worker is None:
                    worker = own_workers[id(job)] = Worker(job)
                    workers.append(worker)
                results.put((index, worker.play(seed)))
            except BaseException as error:
                results.put((index, error))
                return

    with ThreadPoolExecutor(cores) as pool:
        for _ in range(cores):
            pool.submit(serve)
        try:
            results_by_index: dict[int, dict[str, Any]] = {}
            next_index = 0
            for done in range(len(jobs)):
                index, result = results.get()
                if isinstance(result, BaseException):
                    raise result
                progress(done + 1, len(jobs))
                results_by_index[index] = result
                while next_index in results_by_index:
                    yield results_by_index.pop(next_index)
                    next_index += 1
        finally:
            is_closed = True
            for worker in workers:
                worker.close()
