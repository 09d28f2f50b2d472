"""Codec of messages as packed Cap'n Proto frames."""

from pathlib import Path
from typing import NamedTuple

import capnp
from pydantic import ValidationError

from .messages import MESSAGES
from .record import CAPNP_CONTEXT, Record

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))


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
    """Return the packed bytes of a `Frame`."""
    message = frame.message
    fields = message.model_dump(by_alias=True, mode="json", context=CAPNP_CONTEXT)
    body = {_FIELD_BY_CLASS[type(message)]: fields or None}
    kind = "reply" if frame.is_reply else "request"
    return _SCHEMA.Frame.new_message(
        id=frame.id, kind=kind, body=body
    ).to_bytes_packed()


def decode_frame(data):
    """Return the `Frame` in `data`.

    Raises
    ------
    CodecError
        If the bytes are malformed or a field is out of range.
    """
    try:
        fields = _SCHEMA.Frame.from_bytes_packed(data).to_dict()
        ((name, body),) = fields["body"].items()
        message = _CLASS_BY_FIELD[name].model_validate(body or {})
    except (capnp.KjException, ValidationError, KeyError, ValueError) as error:
        reason = str(error).splitlines()[0]
        raise CodecError(f"malformed frame: {reason}") from error
    return Frame(fields["id"], fields["kind"] == "reply", message)
