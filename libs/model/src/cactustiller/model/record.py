"""Base class of the immutable records that are stored or sent between processes."""

from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, PlainSerializer
from pydantic.alias_generators import to_camel


def _read_labels(value):
    if not isinstance(value, list):
        return value
    try:
        return {pair["name"]: pair["value"] for pair in value}
    except (KeyError, TypeError) as error:
        raise ValueError("must be pairs of name and value") from error


def _write_labels(value, info):
    if info.context == CAPNP_CONTEXT:
        return [{"name": name, "value": text} for name, text in value.items()]
    return value


CAPNP_CONTEXT = "capnp"

# Cap'n Proto has no maps; there, labels are a list of name-value pairs.
Labels = Annotated[
    dict[str, str], BeforeValidator(_read_labels), PlainSerializer(_write_labels)
]


class Record(BaseModel):
    """Immutable record; field names are in camel case only in Cap'n Proto."""

    model_config = ConfigDict(
        frozen=True,
        extra="forbid",
        # Infinite times and sizes come only from malformed input.
        allow_inf_nan=False,
        alias_generator=to_camel,
        populate_by_name=True,
        serialize_by_alias=False,
    )

    def with_changes(self, **changes):
        """Return a copy with some fields replaced; the new values are not validated."""
        return self.model_copy(update=changes)
