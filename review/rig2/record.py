"""Record of what a case sent, saw answered and saw run."""

import time


class Record:
    """Text file with one line for each event, and the time since its start.

    Parameters
    ----------
    path : pathlib.Path
    """

    def __init__(self, path):
        self._file = path.open("w", buffering=1)
        self._began = time.monotonic()

    def note(self, who, what):
        """Write a line."""
        seconds = time.monotonic() - self._began
        self._file.write(f"{seconds:8.3f} {who}: {what}\n")

    def close(self):
        """Close the file."""
        self._file.close()
