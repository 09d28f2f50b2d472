from cactustiller.cli.story import read_lines, tell_story

from .log_lines import make_line

JOB = "0123456789abcdef"


def test_lines_of_all_members_come_in_order_with_their_context():
    text = [
        make_line(12, "run_ended", "m1", task=f"{JOB}.0.0.1", worker="w1", end="done"),
        make_line(10, "job_accepted", job=JOB),
        make_line(11, "takeover", "m1", epoch=4),
        make_line(40, "takeover", "m1", epoch=5),
        make_line(11.5, "worker_lost", "m1", worker="w1"),
        make_line(11.5, "worker_lost", "m1", worker="w2"),
        make_line(11, "job_accepted", job="f" * 16),
    ]
    story = tell_story(JOB, list(read_lines(text)))
    assert [(line.event, line.fields.get("worker")) for line in story] == [
        ("job_accepted", None),
        ("takeover", None),
        ("worker_lost", "w1"),
        ("run_ended", "w1"),
    ]


def test_silence_is_marked():
    text = [
        make_line(10, "job_accepted", job=JOB),
        make_line(17, "run_started", job=JOB),
    ]
    assert [line.gap for line in tell_story(JOB, list(read_lines(text)))] == [0.0, 7.0]


def test_lines_that_are_no_events_are_passed_over():
    text = ["", "plain text", "{broken", "{}", '{"event": 1}']
    assert list(read_lines(text)) == []


def test_a_prefix_before_the_line_is_allowed():
    assert len(list(read_lines(["  1.5 m0 " + make_line(1, "started")]))) == 1


def test_nothing_is_told_of_an_unknown_job():
    lines = list(read_lines([make_line(1, "takeover", epoch=1)]))
    assert tell_story(JOB, lines) == []


def test_the_evacuation_for_which_a_job_waits_is_told():
    text = [
        make_line(9, "zone_evacuated", "m1", zone="east", workers=12),
        make_line(10, "job_accepted", job=JOB),
        make_line(11, "job_blocked", "m1", job=JOB, reason="evacuated"),
        make_line(11, "job_blocked", "m1", job="f" * 16, reason="cpu"),
        make_line(12, "interference_learned", "m1", affected="a", interfering="b"),
    ]
    story = tell_story(JOB, list(read_lines(text)))
    assert [(line.event, line.fields.get("reason")) for line in story] == [
        ("zone_evacuated", None),
        ("job_accepted", None),
        ("job_blocked", "evacuated"),
        ("interference_learned", None),
    ]
