"""Any malformed row of a job, task or run: skipped and named, never an exception."""

from hypothesis import given, settings
from structlog.testing import capture_logs

from cactustiller.model import JobRecord, RunRecord, TaskRecord
from cactustiller.ownership.records import Owner, Ownership, decode_ownership
from cactustiller.ownership.settings_rows import SettingsBodyRow, SettingsHead
from cactustiller.ports import Row, decode_row
from cactustiller.scheduler.jobs import JobEntry, TeamUsage, finish_job
from cactustiller.scheduler.loading import load_jobs
from cactustiller.scheduler.unreadable import UnreadableRuns
from cactustiller.settings import default_tree, dump_tree
from tests.fleet.malformed import malform
from tests.scheduler.builders import build_spec

fuzz = settings(max_examples=300, deadline=None, derandomize=True, database=None)
SPEC = build_spec(tasks=3)
HOME, SHARD = "home-01", "shard-r1"
JOB = JobRecord(job="j1", spec=SPEC, submitted_at=5.0)
TASK = TaskRecord(
    job="j1", index=1, state="running", attempt=2, worker="w1", shard=SHARD
)
RUN = RunRecord(
    job="j1",
    index=1,
    attempt=2,
    home=HOME,
    team="free",
    worker="w1",
    template=SPEC.template,
    kind="batch",
)
OWNERSHIP = Ownership(
    owners={HOME: Owner(member="s1", incarnation="i1", epoch=2)},
)
HEAD = SettingsHead(version=2, author="a", at=1.0, digest="d", token="t")
BODY = SettingsBodyRow(version=2, token="t", text=dump_tree(default_tree("s", "c")))
JOB_KEY, TASK_KEY = f"job/{HOME}/j1", f"task/{HOME}/j1/1"
RUN_KEY = f"run/{SHARD}/j1/1"


def make_row(key, value):
    return Row.model_construct(key=key, version=1, value=value)


def dump(record):
    return record.model_dump(mode="json")


def check_loaded(job_value, task_value, changed_key):
    with capture_logs() as lines:
        loaded = load_jobs(
            HOME, [make_row(JOB_KEY, job_value)], [make_row(TASK_KEY, task_value)]
        )
    named = {line["key"] for line in lines if line["event"] == "row_unreadable"}
    if named:
        assert named == {changed_key}
        assert loaded.jobs == []
        assert loaded.unreadable == {"j1": changed_key}
        return
    ((record, tasks),) = loaded.jobs
    entry = JobEntry.recover(record, tasks, TeamUsage(), set())
    # A task that may be running is not placed a second time.
    assert not {task.index for task in entry.list_active()} & set(entry.waiting)
    entry.make_view(detail=True)
    finish_job(record, entry.tasks, 9.0)


@fuzz
@given(value=malform(dump(JOB)))
def test_malformed_job_is_set_aside_or_loaded(value):
    check_loaded(value, dump(TASK), JOB_KEY)


@fuzz
@given(value=malform(dump(TASK)))
def test_malformed_task_sets_its_job_aside_or_is_loaded(value):
    check_loaded(dump(JOB), value, TASK_KEY)


@fuzz
@given(value=malform(dump(RUN)))
def test_malformed_run_is_read_or_kept_as_unreadable(value):
    runs = UnreadableRuns(SHARD, lambda session: None)
    with capture_logs() as lines:
        records = runs.read([make_row(RUN_KEY, value)])
    assert len(records) + len(lines) == 1
    assert runs.has(RUN) is (not records)


@fuzz
@given(value=malform(dump(OWNERSHIP)))
def test_malformed_ownership_is_refused_or_has_rising_epochs(value):
    with capture_logs():
        found = decode_ownership(make_row("ownership", value), set())
    assert found is None or all(o.epoch >= 1 for o in found.owners.values())


@fuzz
@given(head=malform(dump(HEAD)), body=malform(dump(BODY)))
def test_malformed_settings_rows_are_refused_or_read(head, body):
    with capture_logs():
        decode_row(make_row("settings/head", head), SettingsHead, "test")
        decode_row(make_row("settings/body/2", body), SettingsBodyRow, "test")
