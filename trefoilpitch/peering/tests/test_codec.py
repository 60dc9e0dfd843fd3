import dataclasses

import msgspec
import pytest
from returns.result import Failure, Success

from trefoilpitch.peering import (
    DropReason,
    FrameCodec,
    MessageTooLargeError,
    PeerKeys,
    create_frame_codec,
    create_payload_registry,
)
from trefoilpitch.peering._codec import _tag
from trefoilpitch.peering.tests.conftest import (
    KEYS,
    NOTE,
    UNREGISTERED,
    Note,
    Unregistered,
    create_codec,
    create_identity,
)

TARGET = "127.0.0.1:2"
RECEIVER = create_identity("b", 2)


def seal(sender: FrameCodec, *payloads: object, to: str = TARGET) -> bytes:
    return sender.seal(to, [sender.encode(p).unwrap() for p in payloads])


def seal_body(body: object) -> bytes:
    data = msgspec.msgpack.encode(body)
    return _tag(KEYS.current, data) + data


def frame(**changes: object) -> list[object]:
    fields = {
        "major": 1,
        "minor": 0,
        "deployment": "archive",
        "sender": "a",
        "incarnation": "a-1",
        "sender_address": "127.0.0.1:1",
        "recipient_address": TARGET,
        "sequence": 1,
        "messages": [["test.note", {"text": "x"}]],
    }
    assert changes.keys() <= fields.keys() | {"later"}
    return list((fields | changes).values())


def test_messages_share_a_frame_and_keep_their_order() -> None:
    payloads = [Note(text="x", number=number) for number in range(5)]
    data = seal(create_codec("a"), *payloads)
    opened = create_codec("b", 2).open(data).unwrap()
    assert [message.payload for message in opened.messages] == payloads
    assert opened.messages[0].sender == "a"
    assert opened.messages[0].incarnation == "a-1"
    assert opened.messages[0].address == "127.0.0.1:1"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", DropReason.MALFORMED),
        (b"x" * 32, DropReason.MALFORMED),
        (b"x" * 5_000, DropReason.OVERSIZED),
        (b"x" * 100, DropReason.WRONG_KEY),
        (seal_body("no frame"), DropReason.MALFORMED),
        (seal_body([]), DropReason.MALFORMED),
        (seal_body([1, 0, "archive"]), DropReason.MALFORMED),
        (seal_body(frame(sequence="1")), DropReason.MALFORMED),
        (seal_body(frame(major=2)), DropReason.UNKNOWN_VERSION),
        (seal_body([2, "unlike anything"]), DropReason.UNKNOWN_VERSION),
        (seal_body(frame(deployment="cafe")), DropReason.FOREIGN),
        (seal_body(frame(recipient_address="x:1")), DropReason.MISADDRESSED),
    ],
)
def test_invalid_frame_is_dropped_with_its_reason(
    data: bytes, reason: DropReason
) -> None:
    assert create_codec("b", 2).open(data) == Failure(reason)


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        (["test.later", {}], DropReason.UNKNOWN_KIND),
        (["test.note", {"text": 5}], DropReason.MALFORMED),
        (["test.note", {}], DropReason.MALFORMED),
    ],
)
def test_bad_message_does_not_drop_the_rest_of_its_frame(
    message: list[object], reason: DropReason
) -> None:
    good = ["test.note", {"text": "x", "unknown": 1}]
    data = seal_body(frame(messages=[message, good]))
    opened = create_codec("b", 2).open(data).unwrap()
    assert opened.dropped == (reason,)
    assert [m.payload for m in opened.messages] == [Note(text="x")]


def test_newer_minor_version_is_accepted() -> None:
    data = seal_body(frame(minor=7, later="appended"))
    assert isinstance(create_codec("b", 2).open(data), Success)


def test_frame_with_any_changed_byte_is_dropped() -> None:
    data = seal(create_codec("a"), Note(text="x"))
    receiver = create_codec("b", 2)
    for index in range(len(data)):
        changed = bytearray(data)
        changed[index] ^= 1
        assert receiver.open(bytes(changed)) == Failure(DropReason.WRONG_KEY)


@pytest.mark.parametrize(
    ("sender", "receiver", "is_accepted"),
    [
        (PeerKeys(current=b"old"), PeerKeys(current=b"old"), True),
        # A rotation adds the new key on every receiver before any sender uses
        # it.
        (
            PeerKeys(current=b"old"),
            PeerKeys(current=b"old", other=b"new"),
            True,
        ),
        (
            PeerKeys(current=b"new", other=b"old"),
            PeerKeys(current=b"old", other=b"new"),
            True,
        ),
        (PeerKeys(current=b"old"), PeerKeys(current=b"new"), False),
    ],
)
def test_keys_can_be_rotated_without_loss(
    sender: PeerKeys, receiver: PeerKeys, is_accepted: bool
) -> None:
    data = seal(create_codec("a", keys=sender), Note(text="x"))
    opened = create_codec("b", 2, keys=receiver).open(data)
    assert isinstance(opened, Success) is is_accepted


def test_frames_are_accepted_once_in_any_order() -> None:
    sender, receiver = create_codec("a"), create_codec("b", 2)
    frames = [seal(sender, Note(text="x")) for _ in range(50)]
    for data in reversed(frames):
        assert isinstance(receiver.open(data), Success)
    for data in frames:
        assert receiver.open(data) == Failure(DropReason.REPLAYED)


def test_frame_below_the_window_counts_as_replayed() -> None:
    sender, receiver = create_codec("a"), create_codec("b", 2)
    late = seal(sender, Note(text="late"))
    for _ in range(1_024):
        last = seal(sender, Note(text="x"))
    assert isinstance(receiver.open(last), Success)
    assert receiver.open(late) == Failure(DropReason.REPLAYED)


def test_new_incarnation_starts_its_own_sequence() -> None:
    receiver = create_codec("b", 2)
    first = create_codec("a")
    for _ in range(9):
        assert isinstance(receiver.open(seal(first, Note(text="x"))), Success)
    restarted = create_frame_codec(
        identity=dataclasses.replace(first.identity, incarnation="a-2"),
        keys=KEYS,
        registry=create_payload_registry([NOTE]),
    )
    assert isinstance(receiver.open(seal(restarted, Note(text="x"))), Success)


def test_payload_larger_than_a_frame_is_rejected() -> None:
    encoded = create_codec("a").encode(Note(text="x" * 4_096))
    error = encoded.failure()
    assert isinstance(error, MessageTooLargeError)
    assert error.kind == "test.note"
    largest = create_codec("a").encode(Note(text="x" * 3_000)).unwrap()
    assert len(create_codec("a").seal(TARGET, [largest])) <= 4_096


def test_encoding_an_unregistered_payload_raises_key_error() -> None:
    with pytest.raises(KeyError):
        create_codec("a").encode(Unregistered())


@pytest.mark.parametrize(
    ("groups", "message"),
    [
        (([NOTE], [NOTE]), "test.note is registered twice"),
        (
            ([NOTE], [dataclasses.replace(UNREGISTERED, payload_type=Note)]),
            "Note is registered twice",
        ),
    ],
)
def test_registering_a_kind_or_type_twice_raises(
    groups: tuple[list[object], ...], message: str
) -> None:
    with pytest.raises(ValueError, match=message):
        create_payload_registry(*groups)  # type: ignore[arg-type]
