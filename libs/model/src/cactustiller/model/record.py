"""Base class of the immutable typed records that cross an interface."""

from pydantic import BaseModel, ConfigDict
from pydantic.alias_generators import to_camel


class Record(BaseModel):
    """Immutable record; field names are camel case in Cap'n Proto only."""

    model_config = ConfigDict(
        frozen=True,
        extra="forbid",
        alias_generator=to_camel,
        populate_by_name=True,
        serialize_by_alias=False,
    )

    def with_changes(self, **changes):
        """Return a copy in which the named fields have new values."""
        return self.model_copy(update=changes)
