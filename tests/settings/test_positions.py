import pyjson5

from cactustiller.settings.positions import find_positions

TEXT = r"""// a "comment" with {braces: 1}
{
  plain: 1, 'single': {
    /* a comment: {
       of two lines */ "inner": "text, with // and \" and }",
  },
  "list": [
    1,
    {"name": [[], 2]},
  ], "\u0061.b": +Infinity,
}
"""


def test_lines_are_those_of_the_entries():
    """Guards against comments and strings that are read as structure."""
    positions = find_positions(TEXT)
    assert set(pyjson5.decode(TEXT)) == {"plain", "single", "list", "a.b"}
    assert positions.repeated == []
    assert positions.lines == {
        "": 2,
        "plain": 3,
        "single": 3,
        "single.inner": 5,
        "list": 7,
        "list.0": 8,
        "list.1": 9,
        "list.1.name": 9,
        "list.1.name.0": 9,
        "list.1.name.1": 9,
        "a.b": 10,
    }


def test_absent_entry_has_the_line_of_its_ancestor():
    """Guards against errors about missing names without a line."""
    positions = find_positions(TEXT)
    assert positions.find_line("single.absent.deeper") == 3
    assert positions.find_line("absent") == 2
    assert find_positions("").find_line("absent") == 1


def test_name_written_twice_is_found_in_its_object_only():
    """Guards against equal names of two objects that are taken for a repetition."""
    text = '{"a": {"x": 1},\n "b": {"x": 1,\n "y": 2,\n x: 3}}'
    positions = find_positions(text)
    assert positions.repeated == [("b.x", 2, 4)]
    assert positions.find_line("b.x") == 4
    assert find_positions('{"a": {"x": 1},\n"a": {"x": 2}}').repeated == [("a", 1, 2)]
