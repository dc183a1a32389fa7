"""Datagrams between members: msgpack by msgspec, at most 1,200 bytes, with sender and incarnation."""

from __future__ import annotations

import msgspec

FORMAT = 1
MAX_DATAGRAM_BYTES = 1200
Ballot = tuple[int, str]  # (round, proposer): no two are equal


class ArrayStruct(msgspec.Struct, array_like=True, frozen=True):
    """A part of a datagram: encoded as an array, with its tag first where there are several kinds."""


class MemberUpdate(ArrayStruct):
    """Gossip about a member. Of two, the later incarnation prevails, then the later state."""

    id: str
    state: int
    incarnation: int
    address: str
    zone: str
    region: str
    suspected_by: str = ""  # the member that suspects it or declared it dead


# Membership


class Ping(ArrayStruct, tag="p"):
    """Is the target alive?"""

    seq: int
    target: str  # the member that it is meant for: an address may have a new owner


class Ack(ArrayStruct, tag="a"):
    """The answer to a ping."""

    seq: int


class IndirectPing(ArrayStruct, tag="q"):
    """Ping the target and pass its answer on (ping-req of SWIM)."""

    seq: int
    target: str


class ProbeFailed(ArrayStruct, tag="n"):
    """The target does not answer this helper either (nack of Lifeguard): the asker's own network works."""

    seq: int


# The register: voters and proposers


class RecoveryRequest(ArrayStruct, tag="k"):
    """A voter starts without trusted memory: record its generation and report what is known of it."""

    generation: int


class RecoveryReply(ArrayStruct, tag="w"):
    """What a voter knows of the member that asked, and what it has promised and accepted."""

    generation: int  # the highest known of the member that asked, its claim included
    is_voting: bool
    claimed_generation: int  # the generation in the request that this answers
    promised: Ballot
    accepted: Ballot
    document: bytes
    generations: dict[str, int] = {}  # of the other voters, as known to the sender


class Prepare(ArrayStruct, tag="1"):
    """First phase of a ballot."""

    ballot: Ballot


class Promise(ArrayStruct, tag="2"):
    """The voter accepts no earlier ballot; with what it accepted last."""

    ballot: Ballot
    generation: int
    accepted: Ballot
    document: bytes


class Accept(ArrayStruct, tag="3"):
    """Second phase of a ballot."""

    ballot: Ballot
    document: bytes
    basis: tuple[tuple[str, int], ...]  # (voter, generation) of the promises it is based on


class Accepted(ArrayStruct, tag="4"):
    """The voter has accepted the document."""

    ballot: Ballot
    generation: int


class BallotRejected(ArrayStruct, tag="5"):
    """The ballot is refused: a later one is promised, or its basis is no longer valid."""

    ballot: Ballot
    promised: Ballot


class DocumentRequest(ArrayStruct, tag="f"):
    """The sender has an older version of the document than the receiver reports."""

    version: int


class ChosenDocument(ArrayStruct, tag="c"):
    """A document that is known to be chosen."""

    document: bytes


# The policy in force: leases on it, changes, and texts


class LeaseRequest(ArrayStruct, tag="h"):
    """The sender works under this version, or is about to, and asks for a lease on it."""

    generation: int
    seq: int
    version: int
    continues_alone: bool  # without the voters it goes on under the last version
    ready_for: str = ""  # the change that the member is ready for
    refusal: str = ""  # the change that it refuses, and why


class LeaseGrant(ArrayStruct, tag="g"):
    """A lease; generation and seq are those of the request that it answers."""

    seq: int
    version: int
    voter_set_version: int  # as the voter knows it
    generation: int = 0


class LeaseDenial(ArrayStruct, tag="x"):
    """No lease, and why."""

    seq: int
    why: str


class WorkStopped(ArrayStruct, tag="r"):
    """The sender has stopped for the closing at this epoch, and begins nothing until it knows a later one."""

    epoch: int


class DrainQuery(ArrayStruct, tag="C"):
    """Which members does the change wait for at this epoch?"""

    epoch: int


class DrainReply(ArrayStruct, tag="d"):
    """Whether the change still waits for members that this voter has granted a lease."""

    epoch: int
    voter_set_version: int
    is_drained: bool  # no member is pending
    pending: tuple[tuple[str, str], ...] = ()  # (member, reason) of some of them
    refused: str = ""  # a member and its reason to refuse the change


class OutcomeTotals(ArrayStruct):
    """What a courier has counted."""

    worth: float = 0.0  # of the messages that ended
    earned: float = 0.0  # by them
    calls: float = 0.0  # that ended
    refused: float = 0.0  # calls refused (Result.FULL)
    failed: float = 0.0  # calls that failed otherwise


class TotalsRequest(ArrayStruct, tag="S"):
    """Asks for the totals around the start of a canary stage, which is watched for so long."""

    stage_id: str
    watch_ms: int


class TotalsReply(ArrayStruct, tag="T"):
    """Totals of as long before the stage as it lasts, and since."""

    stage_id: str
    version: int  # that the sender works under
    before: OutcomeTotals
    after: OutcomeTotals


class TextRequest(ArrayStruct, tag="t"):
    """Asks for some pieces of a text, from this byte on."""

    digest: bytes
    offset: int


class TextPiece(ArrayStruct, tag="u"):
    """A piece of a text."""

    digest: bytes
    offset: int
    total_bytes: int  # of the text
    data: bytes


Body = (
    Ping
    | Ack
    | IndirectPing
    | ProbeFailed
    | RecoveryRequest
    | RecoveryReply
    | Prepare
    | Promise
    | Accept
    | Accepted
    | BallotRejected
    | DocumentRequest
    | ChosenDocument
    | LeaseRequest
    | LeaseGrant
    | LeaseDenial
    | WorkStopped
    | DrainQuery
    | DrainReply
    | TotalsRequest
    | TotalsReply
    | TextRequest
    | TextPiece
)


class Frame(ArrayStruct):
    """A datagram. A later format adds its fields at the end."""

    format: int
    fleet: str
    sender: str
    incarnation: int
    version: int  # of the newest document that the sender knows to be chosen
    body: msgspec.Raw
    updates: tuple[msgspec.Raw, ...] = ()


class UnreadableDatagramError(ValueError):
    """A datagram that is dropped; the text is the reason that it is counted under."""


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)
_body_decoder = msgspec.msgpack.Decoder(Body)
_update_decoder = msgspec.msgpack.Decoder(MemberUpdate)
encode = _encoder.encode


def read(data: bytes, fleet: str) -> tuple[Frame, Body, list[MemberUpdate]]:
    """Decode a datagram. Raises UnreadableDatagramError with the reason in one word."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise UnreadableDatagramError("long")
    try:
        frame = _frame_decoder.decode(data)
        if frame.format != FORMAT:
            raise UnreadableDatagramError("format")
        if frame.fleet != fleet:
            raise UnreadableDatagramError("fleet")
        return frame, _body_decoder.decode(frame.body), [_update_decoder.decode(n) for n in frame.updates]
    except (msgspec.DecodeError, RecursionError):
        raise UnreadableDatagramError("unreadable") from None


def write(fleet: str, sender: str, incarnation: int, version: int, body: Body, updates: list[bytes]) -> bytes:
    """Encode a datagram with as many of the updates as fit, in their order.

    Raises ValueError if the body alone does not fit.
    """
    head = Frame(FORMAT, fleet, sender, incarnation, version, msgspec.Raw(encode(body)))
    # The length prefix of the array of updates grows with its content.
    room_bytes = MAX_DATAGRAM_BYTES - len(encode(head)) - 4
    if room_bytes < 0:
        raise ValueError(f"the message does not fit a datagram of {MAX_DATAGRAM_BYTES} bytes")
    fitting = []
    for update in updates:
        room_bytes -= len(update)
        if room_bytes < 0:
            break
        fitting.append(msgspec.Raw(update))
    return encode(msgspec.structs.replace(head, updates=tuple(fitting)))
