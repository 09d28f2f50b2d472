"""Frames with changed, cut or random bytes."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cactustiller.model.codec import CodecError, Frame, decode_frame, encode_frame
from cactustiller.model.messages import AnnounceOwner, AskApproval, HandInJob

FRAMES = [
    encode_frame(Frame(7, False, HandInJob(job="j", row="{}"))),
    encode_frame(Frame(8, False, AskApproval(step="s", workers=["w1", "w2"]))),
    encode_frame(
        Frame(
            9, True, AnnounceOwner(epoch=1, member="m", address="a:1", is_standby=True)
        )
    ),
]
fuzz = settings(max_examples=500, deadline=None, derandomize=True, database=None)


def check_frame(data):
    try:
        frame = decode_frame(data)
    except CodecError as error:
        assert str(error)
        return
    assert isinstance(frame, Frame)


@fuzz
@given(st.binary(max_size=200))
@example(b"")
def test_random_bytes_are_a_frame_or_a_codec_error(data):
    check_frame(data)


@fuzz
@given(st.sampled_from(FRAMES), st.integers(0, 10**6), st.integers(0, 255))
def test_changed_byte_is_a_frame_or_a_codec_error(data, position, value):
    position %= len(data)
    check_frame(data[:position] + bytes([value]) + data[position + 1 :])


@fuzz
@given(st.sampled_from(FRAMES), st.integers(0, 10**6))
def test_cut_frame_is_a_frame_or_a_codec_error(data, length):
    check_frame(data[: length % len(data)])


@pytest.mark.parametrize("data", FRAMES)
def test_frames_round_trip(data):
    assert encode_frame(decode_frame(data)) == data
