"""Typed answers of the HTTP interface; names not known here are kept."""

from typing import Any

from pydantic import ConfigDict, Field

from cactustiller.model import JobId, JobState, KeyId, Record, TeamId, Version


class Reply(Record):
    """Base of the answers: a newer gateway may add names."""

    model_config = ConfigDict(extra="allow", alias_generator=None)


class JobAccepted(Reply):
    """Answer to a submission or a cancellation."""

    job: JobId
    state: JobState


class JobStatus(Reply):
    """Job with the counts of its tasks by state."""

    job: JobId
    state: JobState
    reason: str = ""
    spec: dict[str, Any] = Field(default_factory=dict)
    tasks: dict[str, int] = Field(default_factory=dict)


class JobList(Reply):
    """Jobs of a team."""

    jobs: list[JobStatus]


class Explanation(Reply):
    """Why a job waits, or the decisions of its placement."""


class ServiceAnswer(Record):
    """Bytes that a backend server answered, with their media type."""

    body: bytes
    content_type: str
    request: str


class SettingsVersion(Reply):
    """Version in force after a change."""

    version: Version


class SettingsDocument(Reply):
    """Tree of settings and its version."""

    version: Version
    tree: dict[str, Any]


class SettingsValue(Reply):
    """One value with the level that it comes from."""

    name: str
    value: Any
    origin: str


class SettingsValues(Reply):
    """Values in force at a path."""

    version: Version
    values: list[SettingsValue]


class MemberVersion(Reply):
    """Settings version that one member has in force, None without an answer."""

    member: str
    role: str
    zone: str
    version: Version | None
    age_seconds: float | None
    reason: str = ""


class SettingsStatus(Reply):
    """Settings version of every member."""

    instances: list[MemberVersion]


class SettingsEvent(Reply):
    """One earlier version and what it changed."""

    version: Version
    author: str
    note: str
    at: float
    changes: list[str]


class SettingsHistory(Reply):
    """Earlier versions."""

    versions: list[SettingsEvent]


class SettingsChange(Reply):
    """One value that differs between two versions."""

    path: str
    name: str
    old: Any = None
    new: Any = None


class SettingsDiff(Reply):
    """Values that differ between two versions."""

    changes: list[SettingsChange]


class KeyCreated(Reply):
    """New key; the gateway shows it once."""

    key_id: KeyId
    key: str


class KeyDescription(Reply):
    """Key without its secret."""

    key_id: KeyId
    team: TeamId | None = None
    name: str = ""
    created_at: float = 0.0
    withdrawn_at: float | None = None


class KeyList(Reply):
    """Keys of a team, or all."""

    keys: list[KeyDescription]


class MemberDescription(Reply):
    """Daemon of an entry instance."""

    member: str
    instance: str
    role: str = ""
    zone: str = ""
    leaving: bool = False


class InstanceList(Reply):
    """Members, and the workers and backend servers that they know."""

    members: list[MemberDescription]


class ZoneDescription(Reply):
    """Availability zone with the numbers of its members, workers and executors."""

    zone: str
    evacuated: bool
    members: int = 0
    workers: int = 0
    executors: int = 0


class ZoneList(Reply):
    """Zones of the cell."""

    zones: list[ZoneDescription]


class ZoneState(Reply):
    """Version in force after the evacuation or the restoration of a zone."""

    version: Version
    zone: str
    evacuated: bool
    workers: int = 0
    executors: int = 0


class Acknowledgement(Reply):
    """Answer whose names the caller only displays."""
