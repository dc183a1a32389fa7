"""The command `hopmill`. Without arguments it serves, and imports nothing that serving does not need."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the courier, or a command if there are arguments; returns the exit status."""
    if len(sys.argv) == 1:
        from hopmill.serve import run

        return run()
    from hopmill.cli.app import main as command

    return command()


if __name__ == "__main__":
    sys.exit(main())
