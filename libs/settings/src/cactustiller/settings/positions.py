"""Lines of the entries of a JSON text with comments, and names written twice."""

import re
from dataclasses import dataclass, field
from typing import NamedTuple

import pyjson5

TOKEN_PATTERN = re.compile(
    r"//[^\n\r\u2028\u2029]*|/\*.*?\*/"
    r"|\"(?:\\.|[^\"\\])*\"|'(?:\\.|[^'\\])*'"
    r"|[{}\[\]:,]|[^\s\ufeff{}\[\]:,\"'/]+",
    re.DOTALL,
)
COMMENT_STARTS = ("//", "/*")


class Positions(NamedTuple):
    """Line of each entry by its dotted path, and the names written twice.

    A repeated name is ``(path, line, later line)``; only the later entry counts.
    """

    lines: dict[str, int]
    repeated: list[tuple[str, int, int]]

    def find_line(self, path: str) -> int:
        """Return the line of `path`, or of its closest ancestor in the text."""
        while path and path not in self.lines:
            path = path.rpartition(".")[0]
        return self.lines.get(path, 1)


@dataclass
class _Container:
    """Open object or array; `name` is None where an object's next name is due."""

    path: str
    name: str | int | None
    lines: dict[str, int] = field(default_factory=dict)

    @property
    def child_path(self):
        return f"{self.path}.{self.name}" if self.path else str(self.name)

    def advance(self):
        self.name = self.name + 1 if isinstance(self.name, int) else None


def find_positions(text: str) -> Positions:
    """Return the positions in `text`, which must be valid JSON with comments.

    pyjson5 decodes without positions and drops all but the last of equal names.
    """
    found = Positions({}, [])
    containers = []
    line, counted = 1, 0
    for match in TOKEN_PATTERN.finditer(text):
        token = match[0]
        line += text.count("\n", counted, match.start())
        counted = match.start()
        if token.startswith(COMMENT_STARTS) or token == ":":
            continue
        if token == ",":
            containers[-1].advance()
        elif token in ("}", "]"):
            containers.pop()
        elif containers and containers[-1].name is None:
            _add_name(found, containers[-1], token, line)
        else:
            path = containers[-1].child_path if containers else ""
            found.lines.setdefault(path, line)
            if token in ("{", "["):
                containers.append(_Container(path, None if token == "{" else 0))
    return found


def _add_name(found, container, token, line):
    (container.name,) = pyjson5.decode(f"{{{token}: 0}}")
    path = container.child_path
    if path in container.lines:
        found.repeated.append((path, container.lines[path], line))
    container.lines[path] = found.lines[path] = line
