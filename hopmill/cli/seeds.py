"""Seeds as staff write them."""

from __future__ import annotations

from hopmill.cli.app import fail


def seeds_of(text: str) -> list[int]:
    """As 1-20 or 3,5,9."""
    try:
        rows = []
        for word in text.split(","):
            first, dash, last = word.partition("-")
            rows += range(int(first), int(last) + 1) if dash else [int(first)]
        return rows
    except ValueError:
        raise fail(f"--seeds: must be as 1-20 or 3,5,9, not {text}") from None
