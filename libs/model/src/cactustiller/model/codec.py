"""Codec of messages as Cap'n Proto frames.

The frames are not packed: the library's reader of packed messages ends the process when
the bytes are too short for the length that they announce.
"""

from pathlib import Path
from typing import NamedTuple

import capnp
from pydantic import ValidationError

from .messages import MESSAGES
from .record import CAPNP_CONTEXT, Record

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))


# The library raises `RuntimeError` for a union without a member.
MALFORMED_ERRORS = (
    capnp.KjException,
    ValidationError,
    KeyError,
    TypeError,
    ValueError,
    RuntimeError,
)


def _name_field(message_class):
    name = message_class.__name__
    return name[0].lower() + name[1:]


_FIELD_BY_CLASS = {
    message_class: _name_field(message_class) for message_class in MESSAGES
}
_CLASS_BY_FIELD = {
    field: message_class for message_class, field in _FIELD_BY_CLASS.items()
}


class CodecError(ValueError):
    """Bytes that are not a valid frame."""


class Frame(NamedTuple):
    """One message; a reply has the `id` of its request."""

    id: int
    is_reply: bool
    message: Record


def encode_frame(frame):
    """Return the bytes of a `Frame`.

    Raises
    ------
    CodecError
        If a field is out of the range of the schema.
    """
    message = frame.message
    kind = "reply" if frame.is_reply else "request"
    try:
        fields = message.model_dump(by_alias=True, mode="json", context=CAPNP_CONTEXT)
        body = {_FIELD_BY_CLASS[type(message)]: fields or None}
        return _SCHEMA.Frame.new_message(id=frame.id, kind=kind, body=body).to_bytes()
    except (*MALFORMED_ERRORS, OverflowError) as error:
        raise CodecError(f"cannot encode: {_describe(error)}") from error


def decode_frame(data):
    """Return the `Frame` in `data`.

    Raises
    ------
    CodecError
        If the bytes are malformed or a field is out of range.
    """
    try:
        with _SCHEMA.Frame.from_bytes(data) as reader:
            fields = reader.to_dict()
        ((name, body),) = fields["body"].items()
        message = _CLASS_BY_FIELD[name].model_validate(body or {})
    except MALFORMED_ERRORS as error:
        raise CodecError(f"malformed frame: {_describe(error)}") from error
    return Frame(fields["id"], fields["kind"] == "reply", message)


def _describe(error):
    return (str(error) or type(error).__name__).splitlines()[0]
