"""Parses lists of seeds."""

from __future__ import annotations

from hopmill.cli.app import error_exit


def seeds_of(text: str) -> list[int]:
    """The seeds of a text such as 1-20 or 3,5,9. Exit 2 if it is neither."""
    try:
        seeds = []
        for part in text.split(","):
            first, is_range, last = part.partition("-")
            seeds += range(int(first), int(last) + 1) if is_range else [int(first)]
        return seeds
    except ValueError:
        raise error_exit(f"--seeds: must be like 1-20 or 3,5,9, not {text}") from None
