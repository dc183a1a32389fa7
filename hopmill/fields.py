"""The types of the fields of the configuration, and its error."""

from __future__ import annotations

from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Name = Annotated[str, msgspec.Meta(max_length=256)]
PartnerNumber = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]


class ConfigError(Exception):
    """A value is missing or wrong; the text is one line that names its field."""


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table of the configuration; an unknown field is an error."""
