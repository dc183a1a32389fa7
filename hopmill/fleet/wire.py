"""Datagrams between members: msgpack by msgspec, at most 1,200 bytes, with who sent it and in which life."""

from __future__ import annotations

import msgspec

FORMAT = 1
MAX_DATAGRAM_BYTES = 1200
Ballot = tuple[int, str]  # (round, proposer): no two are equal


class ArrayStruct(msgspec.Struct, array_like=True, frozen=True):
    """Of a datagram: an array, its kind first where there are several."""


class MemberUpdate(ArrayStruct):
    """What is said of a member. Of two, the later incarnation prevails, then the later state."""

    id: str
    state: int
    incarnation: int
    address: str
    zone: str
    region: str
    suspected_by: str = ""  # the member that suspects it or declared it dead


# Membership


class Ping(ArrayStruct, tag="p"):
    seq: int
    target: str  # the member that it is meant for: an address may have a new owner


class Ack(ArrayStruct, tag="a"):
    seq: int


class IndirectPing(ArrayStruct, tag="q"):
    """Ping the target and pass its answer on."""

    seq: int
    target: str


class ProbeFailed(ArrayStruct, tag="n"):
    """The one asked for is silent here too; the asker's own hearing is well."""

    seq: int


# The register: voters and proposers


class RecoveryRequest(ArrayStruct, tag="k"):
    """A voter that has just started: what do you know of me? Remember that this is my life now."""

    generation: int


class RecoveryReply(ArrayStruct, tag="w"):
    """life: the highest known of the asker, its own told one included."""

    generation: int  # the highest known of the member that asked, its claim included
    is_voting: bool
    claimed_generation: int  # the generation in the request that this answers
    promised: Ballot
    accepted: Ballot
    document: bytes
    generations: dict[str, int] = {}  # of the other voters, as known to the sender


class Prepare(ArrayStruct, tag="1"):
    ballot: Ballot


class Promise(ArrayStruct, tag="2"):
    ballot: Ballot
    generation: int
    accepted: Ballot
    document: bytes


class Accept(ArrayStruct, tag="3"):
    """basis: the voters, with their lives, whose promises this stands on."""

    ballot: Ballot
    document: bytes
    basis: tuple[tuple[str, int], ...]  # (voter, generation) of the promises it is based on


class Accepted(ArrayStruct, tag="4"):
    ballot: Ballot
    generation: int


class BallotRejected(ArrayStruct, tag="5"):
    """Not this ballot: a later one is promised, or its basis no longer stands."""

    ballot: Ballot
    promised: Ballot


class DocumentRequest(ArrayStruct, tag="f"):
    """I have an older version of the document than you say there is."""

    version: int


class ChosenDocument(ArrayStruct, tag="c"):
    document: bytes


# The policy in force: leases on it, changes, and texts


class LeaseRequest(ArrayStruct, tag="h"):
    """I work under this version, or will: a lease on it. ready: for this change; refuses: it, and why."""

    generation: int
    seq: int
    version: int
    continues_alone: bool  # without the voters it goes on under the last version
    ready_for: str = ""  # the change that the member is ready for
    refusal: str = ""  # the change that it refuses, and why


class LeaseGrant(ArrayStruct, tag="g"):
    """roster: who votes, as the voter knows it. life, seq: of the Hold that it answers."""

    seq: int
    version: int
    voter_set_version: int  # as the voter knows it
    generation: int = 0


class LeaseDenial(ArrayStruct, tag="x"):
    seq: int
    why: str


class WorkStopped(ArrayStruct, tag="r"):
    """I have stopped for the closing at this epoch, and begin nothing before I know a later one."""

    epoch: int


class DrainQuery(ArrayStruct, tag="C"):
    """At this epoch: whom does the change wait for?"""

    epoch: int


class DrainReply(ArrayStruct, tag="d"):
    """clear: for nobody that this voter has given a lease. waits: some of them, and why."""

    epoch: int
    voter_set_version: int
    is_drained: bool  # no member is pending
    pending: tuple[tuple[str, str], ...] = ()  # (member, reason) of some of them
    refused: str = ""  # a member and its reason to refuse the change


class OutcomeTotals(ArrayStruct):
    """What a courier has counted: worth of the messages that ended, and earned by them; calls that ended,
    refused as full, and failed otherwise."""

    worth: float = 0.0  # of the messages that ended
    earned: float = 0.0  # by them
    calls: float = 0.0  # that ended
    refused: float = 0.0  # calls refused as full
    failed: float = 0.0  # calls that failed otherwise


class TotalsRequest(ArrayStruct, tag="S"):
    """Of this stage, which is watched for so long."""

    stage_id: str
    watch_ms: int


class TotalsReply(ArrayStruct, tag="T"):
    stage_id: str
    version: int  # that the sender works under
    before: OutcomeTotals
    after: OutcomeTotals


class TextRequest(ArrayStruct, tag="t"):
    """So many pieces of it, from this byte on."""

    digest: bytes
    offset: int


class TextPiece(ArrayStruct, tag="u"):
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
    """A datagram. What a later format adds goes behind."""

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
    """Unreadable: the reason in a word."""
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
    """As much of the news as fits, the first first. ValueError if the body alone does not."""
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
