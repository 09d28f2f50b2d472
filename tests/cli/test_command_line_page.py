import re
from pathlib import Path

from cactustiller.cli.commands import COMMANDS, GROUPS
from cactustiller.cli.exits import EXIT_MEANINGS

PAGE = Path(__file__).parents[2] / "docs" / "operate" / "command-line.md"


def test_page_lists_the_exit_codes_of_the_code():
    rows = re.findall(r"^\| (\d+) \| (.+) \|$", PAGE.read_text(), re.MULTILINE)
    expected = [(str(int(code)), text) for code, text in EXIT_MEANINGS.items()]
    assert rows == expected


def test_page_names_every_command():
    text = PAGE.read_text()
    for name in COMMANDS:
        assert f"`{name}" in text, name
    for group, app in GROUPS.items():
        for command in app.registered_commands:
            assert f"`{group} {command.name}" in text, (group, command.name)
