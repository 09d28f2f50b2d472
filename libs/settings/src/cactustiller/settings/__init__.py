"""Settings file of an instance, the settings tree with inheritance, and API keys."""

from .checks import check_tree, parse_tree
from .differences import Change, diff_trees
from .edits import (
    add_key,
    add_queue,
    add_team,
    set_value,
    set_zone_evacuated,
    withdraw_key,
)
from .findings import (
    CheckedFile,
    Finding,
    Severity,
    check_file,
    find_warnings,
    validate_submission,
)
from .instance import (
    GatewaySettings,
    InstanceSettings,
    PlatformSettings,
    SchedulerSettings,
    TimingSettings,
    TlsSettings,
    load_instance,
)
from .keys import KeyRecord, KeyRefusal, create_key, verify_key
from .names import Level, ResolvedValues, Spread, format_names_table, get_levels
from .parsing import SettingsError, read_text
from .patches import apply_patch, make_patch
from .resolution import (
    DEFAULT_ORIGIN,
    ValueOrigin,
    find_largest,
    resolve,
    show_origin,
)
from .tree import SettingsTree, StoredKey, default_tree, dump_tree, has_path, read_tree

__all__ = [
    "DEFAULT_ORIGIN",
    "Change",
    "CheckedFile",
    "Finding",
    "GatewaySettings",
    "InstanceSettings",
    "KeyRecord",
    "KeyRefusal",
    "Level",
    "PlatformSettings",
    "ResolvedValues",
    "SchedulerSettings",
    "SettingsError",
    "SettingsTree",
    "Severity",
    "Spread",
    "StoredKey",
    "TimingSettings",
    "TlsSettings",
    "ValueOrigin",
    "add_key",
    "add_queue",
    "add_team",
    "apply_patch",
    "check_file",
    "check_tree",
    "create_key",
    "default_tree",
    "diff_trees",
    "dump_tree",
    "find_largest",
    "find_warnings",
    "format_names_table",
    "get_levels",
    "has_path",
    "load_instance",
    "make_patch",
    "parse_tree",
    "read_text",
    "read_tree",
    "resolve",
    "set_value",
    "set_zone_evacuated",
    "show_origin",
    "validate_submission",
    "verify_key",
    "withdraw_key",
]
