"""Tests of the framing of requests, whatever pieces they arrive in."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactustiller.serving import RefusalReason
from cactustiller.serving.chunks import FramingError
from cactustiller.serving.framing import MAX_REQUEST_LINE_BYTES, RequestFramer

from .builders import LIMITS, encode_request, split_at

sizes = st.lists(st.integers(1, 300), min_size=1, max_size=5)
bodies = st.binary(max_size=LIMITS.max_body_bytes)


def frame_all(pieces):
    """Return the requests in a stream and the largest number of held bytes."""
    framer, requests, held = RequestFramer(), [], 0
    for piece in pieces:
        framer.feed(piece, LIMITS)
        held = max(held, framer.held_bytes)
        while framer.is_complete:
            requests.append(framer.take())
            framer.feed(b"", LIMITS)
    return requests, held


@given(st.lists(st.tuples(bodies, st.none() | sizes), max_size=4), sizes)
def test_requests_are_framed_in_any_pieces(contents, piece_sizes):
    stream = b"".join(
        encode_request(body, chunks=chunks or ()) for body, chunks in contents
    )
    requests, _ = frame_all(split_at(stream, piece_sizes))
    assert requests == [encode_request(body) for body, _ in contents]


@given(st.binary(max_size=6000), sizes)
def test_held_bytes_are_bounded(noise, piece_sizes):
    framer, held = RequestFramer(), 0
    limit = MAX_REQUEST_LINE_BYTES + LIMITS.max_head_bytes + LIMITS.max_body_bytes
    try:
        for piece in split_at(noise, piece_sizes):
            framer.feed(piece, LIMITS)
            held = max(held, framer.held_bytes)
            if framer.is_complete:
                break
    except FramingError:
        pass
    assert held <= limit + max(piece_sizes)


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ([b"A: " + b"a" * 512], RefusalReason.HEAD_TOO_LARGE),
        ([b"a:"] * 150, RefusalReason.HEAD_TOO_LARGE),
        ([b"Content-Length: 7"], RefusalReason.MALFORMED),
        ([b"Content-Length : 0"], RefusalReason.MALFORMED),
        ([b"A: b", b" c"], RefusalReason.MALFORMED),
        ([b"no colon"], RefusalReason.MALFORMED),
        ([b"Transfer-Encoding: chunked"], RefusalReason.MALFORMED),
        ([b"Content-Encoding: gzip"], RefusalReason.ENCODING_UNSUPPORTED),
    ],
)
def test_heads_are_refused(lines, reason):
    with pytest.raises(FramingError) as caught:
        RequestFramer().feed(encode_request(b"", lines), LIMITS)
    assert caught.value.reason is reason


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"BREW / HTTP/1.1\r\n\r\n", RefusalReason.METHOD_UNSUPPORTED),
        (b"CONNECT a:1 HTTP/1.1\r\n\r\n", RefusalReason.METHOD_UNSUPPORTED),
        (b"GET / HTTP/2.0\r\n\r\n", RefusalReason.MALFORMED),
        (b"GET /\r\n\r\n", RefusalReason.MALFORMED),
        (b"GET /" + b"a" * 4096 + b" HTTP/1.1\r\n\r\n", RefusalReason.HEAD_TOO_LARGE),
        (b"\r\n" * 3000, RefusalReason.HEAD_TOO_LARGE),
        (encode_request(b"a" * 1025), RefusalReason.BODY_TOO_LARGE),
        (encode_request(b"a" * 1025, chunks=[7]), RefusalReason.BODY_TOO_LARGE),
    ],
)
def test_requests_are_refused(data, reason):
    framer = RequestFramer()
    with pytest.raises(FramingError) as caught:
        for piece in split_at(data, [100]):
            framer.feed(piece, LIMITS)
    assert caught.value.reason is reason


@pytest.mark.parametrize(
    ("rest", "reason"),
    [
        (b"g\r\n", RefusalReason.MALFORMED),
        (b"1\r\nabc", RefusalReason.MALFORMED),
        (b"1;x=" + b"a" * 300, RefusalReason.MALFORMED),
        (b"1 2\r\na\r\n", RefusalReason.MALFORMED),
        (b"fffffff\r\n", RefusalReason.BODY_TOO_LARGE),
        (b"0\r\n" + b"a: b\r\n" * 200, RefusalReason.HEAD_TOO_LARGE),
    ],
)
def test_chunks_are_refused(rest, reason):
    framer = RequestFramer()
    framer.feed(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", LIMITS)
    with pytest.raises(FramingError) as caught:
        framer.feed(rest, LIMITS)
    assert caught.value.reason is reason


def test_extensions_and_trailers_are_dropped():
    framer = RequestFramer()
    framer.feed(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", LIMITS)
    framer.feed(b"1;a=b\r\nx\r\n0\r\nX: y\r\n\r\nGET", LIMITS)
    assert framer.take() == b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
    assert framer.held_bytes == len(b"GET")
