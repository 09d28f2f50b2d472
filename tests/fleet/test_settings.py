from pathlib import Path

import pytest

from cactustiller.fleet.settings import SettingsError, load_settings

FILE = Path(__file__).parent / "data" / "node.toml"


def test_settings_are_loaded():
    settings = load_settings(FILE)
    assert settings.member.peer_address == "10.1.0.17:7420"
    assert settings.member.member == "frontend-a-1@10.1.0.17"
    assert settings.member.status_retention_ms == 120_000
    assert settings.store_address == "10.200.1.7:8182"
    assert settings.grace_seconds == 6.0


@pytest.mark.parametrize("field", ["Ip", "InternalPorts", "Zone"])
def test_error_names_a_missing_field(tmp_path, field):
    lines = FILE.read_text().splitlines()
    path = tmp_path / "node.toml"
    path.write_text("\n".join(x for x in lines if not x.startswith(field)))
    with pytest.raises(SettingsError, match=f"{field}: missing"):
        load_settings(path)


def test_unreadable_settings_file_is_refused(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text("{")
    with pytest.raises(SettingsError, match=r"node\.toml"):
        load_settings(path)
    with pytest.raises(SettingsError):
        load_settings(tmp_path / "missing.toml")
