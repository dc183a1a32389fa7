"""The types that fields of the configuration are made of."""

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
    """A value that lacks or is wrong; the text is one line that names its field."""


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table: a name that it does not know is a mistake."""
