"""Entry point of a case: runs it in a temporary folder and exits with its verdict."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback
from enum import IntEnum
from pathlib import Path

from .record import Record

# A case has to end within 120 s.
MAX_SECONDS = 112.0


class Verdict(IntEnum):
    """Exit code of a case."""

    HELD = 0
    BROKEN = 1
    COULD_NOT_RUN = 2


def run_case(file, play):
    """Run a case and exit.

    Parameters
    ----------
    file : str
        Path of the case, beside which the record is written.
    play : callable
        Coroutine function of a folder, the record and whether the disruption is on; it
        returns a `Verdict`.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    name = "record.txt" if has_trouble else "record-without-trouble.txt"
    record = Record(Path(file).parent / name)
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    try:
        verdict = asyncio.run(_play(play, folder, record, has_trouble))
    except (Exception, asyncio.CancelledError):
        record.note("case", f"could not run: {traceback.format_exc()}")
        verdict = Verdict.COULD_NOT_RUN
    finally:
        if "KEEP" in os.environ:
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.note("case", verdict.name)
    record.close()
    sys.exit(int(verdict))


async def _play(play, folder, record, has_trouble):
    # Ends the daemons as well when the script itself is ended.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with asyncio.timeout(MAX_SECONDS):
        return await play(folder, record, has_trouble)
