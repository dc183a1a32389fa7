"""Datagrams between members: msgpack by msgspec, at most 1,200 bytes, with who sent it and in which life."""

from __future__ import annotations

import msgspec

FORMAT = 1
MAX_DATAGRAM_BYTES = 1200
Ballot = tuple[int, str]  # round, then who proposes: all are different


class Part(msgspec.Struct, array_like=True, frozen=True):
    """Of a datagram: an array, its kind first where there are several."""


class News(Part):
    """What is said of a member. Of two, the later incarnation prevails, then the later state."""

    id: str
    state: int
    incarnation: int
    address: str
    zone: str
    region: str
    by: str = ""  # who suspects it, or took it for dead


# Membership


class Ping(Part, tag="p"):
    seq: int
    target: str  # whom it is meant for: an address may have changed hands


class Ack(Part, tag="a"):
    seq: int


class PingFor(Part, tag="q"):
    """Ping the target and pass its answer on."""

    seq: int
    target: str


class Unheard(Part, tag="n"):
    """The one asked for is silent here too; the asker's own hearing is well."""

    seq: int


# The register: voters and proposers


class Ask(Part, tag="k"):
    """A voter that has just started: what do you know of me? Remember that this is my life now."""

    life: int


class Known(Part, tag="w"):
    """life: the highest known of the asker, its own told one included."""

    life: int
    voting: bool
    told: int  # the life in the Ask that this answers
    promised: Ballot
    accepted: Ballot
    document: bytes
    lives: dict[str, int] = {}  # of the other voters, as known here


class Prepare(Part, tag="1"):
    ballot: Ballot


class Promise(Part, tag="2"):
    ballot: Ballot
    life: int
    accepted: Ballot
    document: bytes


class Accept(Part, tag="3"):
    """basis: the voters, with their lives, whose promises this stands on."""

    ballot: Ballot
    document: bytes
    basis: tuple[tuple[str, int], ...]


class Accepted(Part, tag="4"):
    ballot: Ballot
    life: int


class Refused(Part, tag="5"):
    """Not this ballot: a later one is promised, or its basis no longer stands."""

    ballot: Ballot
    promised: Ballot


class Fetch(Part, tag="f"):
    """I have an older version of the document than you say there is."""

    version: int


class Chosen(Part, tag="c"):
    document: bytes


# The policy in force: who may act under it, and its texts


class Hold(Part, tag="h"):
    """I work under this version, or will: a lease on it. ready: for this change; refuses: it, and why."""

    life: int
    seq: int
    version: int
    last: bool  # alone, it goes on under the last version
    ready: str = ""
    refuses: str = ""


class Given(Part, tag="g"):
    """roster: who votes, as the voter knows it. life, seq: of the Hold that it answers."""

    seq: int
    version: int
    roster: int
    life: int = 0


class NotGiven(Part, tag="x"):
    seq: int
    why: str


class Stopped(Part, tag="r"):
    """I have stopped for the closing at this epoch, and begin nothing before I know a later one."""

    epoch: int


class IsClear(Part, tag="C"):
    """At this epoch: whom does the change wait for?"""

    epoch: int


class Clear(Part, tag="d"):
    """clear: for nobody that this voter has given a lease. waits: some of them, and why."""

    epoch: int
    roster: int
    clear: bool
    waits: tuple[tuple[str, str], ...] = ()
    refused: str = ""


class OutcomeTotals(Part):
    """What a courier has counted: worth of the messages that ended, and earned by them; calls that ended,
    refused as full, and failed otherwise."""

    worth: float = 0.0
    earned: float = 0.0
    calls: float = 0.0
    refused: float = 0.0
    failed: float = 0.0


class WantSums(Part, tag="S"):
    """Of this stage, which is watched for so long."""

    stage: str
    watch_ms: int


class Counted(Part, tag="T"):
    stage: str
    version: int  # that the sender works under
    before: OutcomeTotals
    after: OutcomeTotals


class WantText(Part, tag="t"):
    """So many pieces of it, from this byte on."""

    digest: bytes
    at: int


class Piece(Part, tag="u"):
    digest: bytes
    at: int
    size: int  # of the whole
    data: bytes


Body = (
    Ping
    | Ack
    | PingFor
    | Unheard
    | Ask
    | Known
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Refused
    | Fetch
    | Chosen
    | Hold
    | Given
    | NotGiven
    | Stopped
    | IsClear
    | Clear
    | WantSums
    | Counted
    | WantText
    | Piece
)


class Frame(Part):
    """A datagram. What a later format adds goes behind."""

    format: int
    fleet: str
    sender: str
    incarnation: int
    version: int  # of the newest document that the sender knows to be chosen
    body: msgspec.Raw
    news: tuple[msgspec.Raw, ...] = ()


class Unreadable(ValueError):
    """A datagram that is dropped; the text is the reason that it is counted under."""


_encoder = msgspec.msgpack.Encoder()
_frame = msgspec.msgpack.Decoder(Frame)
_body = msgspec.msgpack.Decoder(Body)
_news = msgspec.msgpack.Decoder(News)
encode = _encoder.encode


def read(data: bytes, fleet: str) -> tuple[Frame, Body, list[News]]:
    """Unreadable: the reason in a word."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise Unreadable("long")
    try:
        frame = _frame.decode(data)
        if frame.format != FORMAT:
            raise Unreadable("format")
        if frame.fleet != fleet:
            raise Unreadable("fleet")
        return frame, _body.decode(frame.body), [_news.decode(n) for n in frame.news]
    except (msgspec.DecodeError, RecursionError):
        raise Unreadable("unreadable") from None


def write(fleet: str, sender: str, incarnation: int, version: int, body: Body, news: list[bytes]) -> bytes:
    """As much of the news as fits, the first first. ValueError if the body alone does not."""
    head = Frame(FORMAT, fleet, sender, incarnation, version, msgspec.Raw(encode(body)))
    room = MAX_DATAGRAM_BYTES - len(encode(head)) - 4  # the array's own length grows with what is in it
    if room < 0:
        raise ValueError("the body does not fit a datagram")
    taken = []
    for each in news:
        room -= len(each)
        if room < 0:
            break
        taken.append(msgspec.Raw(each))
    return encode(msgspec.structs.replace(head, news=tuple(taken)))
