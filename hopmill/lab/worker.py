"""A process that runs seeds for one build. It is run as a file, so that the build's module is loaded first.

Its first line of input is a JSON object with the task; then it reads seeds and writes a JSON line for each.
"""

from __future__ import annotations

import importlib.util
import json
import sys
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent  # hopmill, of the checkout that this laboratory belongs to
BUILD_MODULES = ("interface", "brain", "links", "zones", "policy")  # taken from the build under test


class BuildFinder:
    """Import hook: finds the module under test in another checkout, and everything else here."""

    def __init__(self, checkout: Path) -> None:
        self.package = checkout / "hopmill"

    def find_spec(self, name, path=None, target=None):
        """The spec of a hopmill module; None for others. ModuleNotFoundError if the build lacks it."""
        parts = name.split(".")
        if parts[0] != "hopmill":
            return None
        if len(parts) == 1:
            return importlib.util.spec_from_file_location(
                name, self.package / "__init__.py", submodule_search_locations=[str(PACKAGE)]
            )
        if parts[1] not in BUILD_MODULES:
            return None
        location = self.package.joinpath(*parts[1:])
        for file, search_locations in (
            (location / "__init__.py", [str(location)]),
            (location.with_suffix(".py"), None),
        ):
            if file.exists():
                return importlib.util.spec_from_file_location(
                    name, file, submodule_search_locations=search_locations
                )
        raise ModuleNotFoundError(f"this build has no {name}", name=name)


def main() -> int:
    """Runs the task. Returns the exit code: 2 after an error that was reported as JSON."""
    task = json.loads(sys.stdin.readline())
    sys.path[:] = [entry for entry in sys.path if Path(entry or ".").resolve() != PACKAGE / "lab"]
    sys.path.insert(0, str(PACKAGE.parent))
    if task.get("checkout"):
        sys.meta_path.insert(0, BuildFinder(Path(task["checkout"])))
    try:
        from hopmill.lab.dialect import DialectError
        from hopmill.lab.play import override, play
        from hopmill.lab.scenario import ScenarioError, load

        override(task["override"])
        scenario = load(task["scenario"], task["couriers"], **task["changes"])
        print(json.dumps({"ready": True}), flush=True)
        for line in sys.stdin:
            print(json.dumps(play(scenario, int(line), task["more"])), flush=True)
    except (ScenarioError, DialectError, KeyError, ModuleNotFoundError) as error:
        print(json.dumps({"error": f"{type(error).__name__}: {error}"}), flush=True)
        return 2
    except KeyboardInterrupt:
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
