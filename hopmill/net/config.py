"""Start configuration of a courier: environment variables, and a file in TOML or JSON."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hopmill import document as doc
from hopmill.document import ConfigError, Document
from hopmill.fleet.settings import Members
from hopmill.interface import Settings

Address = tuple[str, int]
__all__ = ["Address", "Config", "ConfigError", "Options", "Source", "load", "parse_address"]


@dataclass(frozen=True)
class Options:
    """Optional features, off unless the file names them. docs/operations.md describes each."""

    warm_up: bool = False  # connections.warm_up: open connections before messages need them


@dataclass(frozen=True)
class Config:
    """The complete configuration of a courier."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    sockets: int
    disk_bytes: int
    memory_bytes: int
    known: dict[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    operator: Address | None = None  # address of the operator API, None if it is off
    listen_fd: int | None = None  # listening socket for clients, if the platform passes it
    options: Options = field(default_factory=lambda: Options())
    log: doc.Log = field(default_factory=lambda: doc.Log())
    members: Members | None = None  # fleet that this courier is a member of, if any
    document: Document | None = None  # the whole configuration file


@dataclass(frozen=True)
class Source:
    """Where the configuration is read from, at the start and again on SIGHUP."""

    env: Mapping[str, str]
    file: Path | None = None  # TOML; if None, the JSON file that LB_CONFIG names

    def read(self) -> tuple[Document, Settings, dict[str, Any]]:
        """Return (document, settings for the decision core, endpoints known before discovery responds)."""
        if self.file is not None:
            document = doc.read_toml(self.file)
            return document, document.settings(), document.known_endpoints()
        raw = _read_json(self.env)
        document, settings = doc.from_platform(raw)
        return document, settings, _known(raw.get("known", {}))

    def discovery(self) -> Address:
        """The address of discovery as the file alone gives it.

        After a SIGHUP the environment still names the old one. It is read separately: an error elsewhere in
        the file must not keep a courier at an address that is going away.
        """
        address = self.read()[0].discovery if self.file else _read_json(self.env).get("discovery")
        return parse_address(address, "discovery")


def parse_address(text: Any, field: str) -> Address:
    """Parse '10.0.0.4:6379' into (host, port).

    Raises ConfigError.
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{field}: must be HOST:PORT, not {text!r}")
    return host.strip("[]"), int(port)


def load(env: Mapping[str, str], file: Path | None = None) -> Config:
    """Load the configuration; the environment overrides the file.

    Raises ConfigError with a message of one line.
    """
    document, settings, known = Source(env, file).read()
    operator_address = env.get("LB_OPERATOR") or document.operator
    folder = env.get("LB_STATE") or document.state
    state = Path(folder)
    if not folder or not state.is_dir():
        raise ConfigError(f"LB_STATE: must be a folder, not {folder or None!r}")
    limits = document.limits
    return Config(
        name=env.get("LB_NAME") or document.name,
        listen=parse_address(env.get("LB_LISTEN") or document.listen, "LB_LISTEN"),
        discovery=parse_address(env.get("LB_DISCOVERY") or document.discovery, "LB_DISCOVERY"),
        state=state,
        seed=_seed(document.seed),
        sockets=int(limits.sockets),
        disk_bytes=int(limits.disk_mb * 1_000_000),
        memory_bytes=int(limits.memory_mb * 1_000_000),
        known=known,
        settings=settings,
        zones=tuple(zone.name for zone in document.zones),
        operator=parse_address(operator_address, "LB_OPERATOR") if operator_address else None,
        listen_fd=_listen_fd(env.get("LB_LISTEN_FD", "")),
        options=options(document),
        log=document.log,
        members=document.members,
        document=document,
    )


def options(document: Document) -> Options:
    """The optional features that a document switches on."""
    return Options(document.connections.warm_up)


def _listen_fd(text: str) -> int | None:
    if not text:
        return None
    try:
        with socket.socket(fileno=os.dup(int(text))) as sock:
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except (ValueError, OSError):
        listening = 0
    if not listening:
        raise ConfigError(f"LB_LISTEN_FD: must be the number of a listening socket, not {text!r}")
    return int(text)


def _read_json(env: Mapping[str, str]) -> dict[str, Any]:
    path = env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: is not set")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: cannot be read: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG: is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("LB_CONFIG: must hold a JSON object")
    return raw


def _known(known: Any) -> dict[str, Any]:
    if not isinstance(known, dict):
        raise ConfigError("known: must be a JSON object")
    rev, targets = known.get("rev", 0), known.get("targets", [])
    if not isinstance(rev, int) or not isinstance(targets, list):
        raise ConfigError("known: must have an integer rev and a list targets")
    return {"rev": rev, "targets": targets}


def _seed(value: int | str) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else value
    except ValueError:
        raise ConfigError(f"seed: must be a number or hex digits, not {value!r}") from None
