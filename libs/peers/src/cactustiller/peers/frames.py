"""Length-prefixed frames on asyncio streams."""

import asyncio
import struct

from cactustiller.model.codec import CodecError, decode_frame, encode_frame

MAX_FRAME_BYTES = 8 * 1024 * 1024
_LENGTH = struct.Struct("<I")


class FrameError(ValueError):
    """Raised for a frame that is too long or malformed."""


async def read_length(reader, max_bytes=MAX_FRAME_BYTES):
    """Return the number of bytes of the next frame, which follow.

    Raises
    ------
    FrameError
        If it exceeds `max_bytes`.
    asyncio.IncompleteReadError
        If the connection closes.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > max_bytes:
        raise FrameError(f"frame of {length} bytes exceeds {max_bytes}")
    return length


async def read_frame(reader, traffic, max_bytes=MAX_FRAME_BYTES):
    """Read one frame.

    Raises
    ------
    FrameError
        If the frame exceeds `max_bytes` or is malformed.
    asyncio.IncompleteReadError
        If the connection closes.
    """
    return await read_message(reader, traffic, await read_length(reader, max_bytes))


async def read_message(reader, traffic, length):
    """Return the frame whose length has been read; raises as `read_frame`."""
    data = await reader.readexactly(length)
    traffic.count_received(length + _LENGTH.size)
    try:
        return decode_frame(data)
    except CodecError as error:
        raise FrameError(str(error)) from error


def write_frame(writer, frame, traffic):
    """Append one frame to the writer's buffer.

    Raises
    ------
    FrameError
        If the message cannot be encoded or the frame exceeds `MAX_FRAME_BYTES`.
    """
    try:
        data = encode_frame(frame)
    except CodecError as error:
        raise FrameError(str(error)) from error
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    traffic.count_sent(len(data) + _LENGTH.size)
    writer.write(_LENGTH.pack(len(data)) + data)


async def close_writer(writer):
    """Close a stream, ignoring errors of the connection."""
    writer.close()
    try:
        await writer.wait_closed()
    except (OSError, asyncio.CancelledError):
        return
