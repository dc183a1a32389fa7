"""A client of a courier's operator API."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote

from hopmill.document import ConfigError
from hopmill.net.config import parse_address

ANSWER_TIMEOUT_S = 3.0  # couriers answer within 1 s


class OperatorApiError(Exception):
    """No valid answer; the text is one line."""


def call(
    address: str, method: str, path: str, name: str = "", body: bytes | None = None
) -> tuple[int, dict[str, Any]]:
    """(status, body) of a request. OperatorApiError if there is no valid answer."""
    try:
        host, port = parse_address(address, "ADDRESS")
    except ConfigError as error:
        raise OperatorApiError(str(error)) from None
    connection = http.client.HTTPConnection(host, port, timeout=ANSWER_TIMEOUT_S)
    try:
        connection.request(method, path.format(quote(name, safe="")), body)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise OperatorApiError(f"{address}: no answer: {error}") from None
    finally:
        connection.close()


def format_lines(body: dict[str, Any]) -> Iterator[str]:
    """Readable text: a table for a list of rows, one line for any other field."""
    for name, value in body.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            yield from format_table([dict(row) for row in value])
        else:
            yield f"{name}: {_text(value)}"


def format_table(rows: list[dict[str, Any]]) -> Iterator[str]:
    """A header and a line per row, in aligned columns."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    rows_of_cells = [names] + [[_text(row.get(name)) for name in names] for row in rows]
    widths = [max(len(row[column]) for row in rows_of_cells) for column in range(len(names))]
    for row in rows_of_cells:
        yield "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()


def _text(value: Any) -> str:
    if value is None:
        return "-"
    return json.dumps(value) if isinstance(value, (dict, list, bool)) else str(value)
