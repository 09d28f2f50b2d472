"""Workers in evacuated zones: no placement, no claim, no preemption, explanation."""

from cactustiller.model import Resources, Urgency, WorkloadKind
from cactustiller.policy import Amounts, explain_waiting, find_infeasible_reason

from .builders import (
    NOW,
    list_placed,
    make_job,
    make_planner,
    make_resources,
    make_running,
    make_worker,
)

UNUSABLE = Resources.model_construct(cpu_millis=-1, memory_mib=-1, accelerators=-1)
EMPTY = make_worker().total
FULL = EMPTY.with_changes(cpu_millis=0)


def make_evacuated(name="w-1", withheld=EMPTY, **changes):
    """Return a worker as the view shows it while its zone is being evacuated."""
    fields = {"zone": "b", "free": UNUSABLE, "withheld": withheld}
    return make_worker(name, **(fields | changes))


def make_gang(tasks=2, cpu=8000):
    return make_job(
        "whole",
        "t-1",
        tasks,
        kind=WorkloadKind.ALL_AT_ONCE,
        resources=make_resources(cpu, 1024),
    )


def explain(planner, job):
    return explain_waiting(planner, job, NOW)[0]


def test_work_goes_to_the_other_zone_or_waits():
    """Guards against a placement there, and against a refusal of the job."""
    workers = [make_worker("w-0", free=make_resources(1000)), make_evacuated()]
    planner = make_planner(workers, [make_job(tasks=2)])
    assert list_placed(planner.plan(NOW)) == [("j-0", 0, "w-0")]
    assert not planner.parked


def test_job_of_an_evacuated_zone_can_still_run_some_day():
    """Guards against jobs that are refused or parked while all zones are evacuated."""
    planner = make_planner([make_evacuated()], [make_job()])
    assert not planner.plan(NOW).parked
    assert find_infeasible_reason(make_job(), planner.state.fleet) == ""


def test_claim_waits_for_no_capacity_of_an_evacuated_zone():
    """Guards against a gang that waits for the end of tasks in the zone."""
    ending = make_running(
        worker="w-1", amounts=Amounts(8000, 1024, 0), expected_end=NOW + 10
    )
    other = make_running(
        "r-2", worker="w-2", amounts=Amounts(8000, 1024, 0), expected_end=NOW + 1000
    )
    workers = [
        make_worker("w-0"),
        make_evacuated(withheld=FULL),
        make_worker("w-2", free=FULL),
    ]
    gang = make_gang(cpu=7000)
    planner = make_planner(workers, [gang], running=[ending, other])
    planner.plan(NOW)
    claim = planner.claims.own["whole"]
    assert (set(claim.tasks), claim.start_at) == ({"w-0", "w-2"}, NOW + 1000)


def test_claim_leaves_a_zone_that_is_evacuated_later():
    """Guards against a claim that was made before the evacuation."""
    running = [
        make_running(
            f"r-{number}",
            worker=f"w-{number}",
            amounts=Amounts(8000, 1024, 0),
            expected_end=NOW + 10 * number,
        )
        for number in (1, 2)
    ]
    workers = [make_worker("w-0")]
    workers += [make_worker(f"w-{number}", free=FULL) for number in (1, 2)]
    planner = make_planner(workers, [make_gang()], running=running)
    planner.plan(NOW)
    assert set(planner.claims.own["whole"].tasks) == {"w-0", "w-1"}
    planner.state.fleet.put_worker(make_evacuated(withheld=FULL))
    planner.plan(NOW + 0.1)
    assert set(planner.claims.own["whole"].tasks) == {"w-0", "w-2"}


def test_backfilled_task_is_not_stopped_in_a_zone_that_is_evacuated_later():
    """Guards against preemption for capacity that nothing may use."""
    busy = [
        make_running(
            f"r-{number}",
            worker=f"w-{number}",
            amounts=Amounts(8000, 1024, 0),
            expected_end=NOW + seconds,
            is_preemptible=False,
        )
        for number, seconds in ((1, 100), (2, 1000))
    ]
    free = make_resources(0, 15_360)
    workers = [make_worker("w-0")]
    workers += [make_worker(f"w-{number}", free=free) for number in (1, 2)]
    planner = make_planner(workers, [make_gang()], running=busy)
    planner.plan(NOW)
    planner.state.put_job(make_job("short", p90_seconds=50.0))
    planner.plan(NOW + 1)
    filling = make_running("short", worker="w-0", expected_end=NOW + 51)
    planner.state.put_running("short", [filling])
    planner.plan(NOW + 2)
    planner.state.fleet.put_worker(make_evacuated("w-0"))
    planner.plan(NOW + 3)
    assert set(planner.claims.own["whole"].tasks) == {"w-1", "w-2"}
    assert not planner.plan(NOW + 120).preemptions


def test_urgent_job_preempts_nothing_in_an_evacuated_zone():
    """Guards against stopped tasks whose capacity the urgent job cannot use."""
    urgent = make_job("urgent", "t-1", urgency=Urgency.URGENT)
    idle = {"worker": "w-1", "urgency": Urgency.IDLE}
    running = [make_running("idle", amounts=Amounts(2000, 2048, 0), **idle)]
    workers = [make_worker("w-0", free=FULL), make_evacuated(withheld=FULL)]
    planner = make_planner(workers, [urgent], running=running)
    assert not planner.plan(NOW).preemptions
    running = [make_running("normal", worker="w-0"), *running]
    planner = make_planner(workers, [urgent], running=running)
    (preemption,) = planner.plan(NOW).preemptions
    assert preemption.task.worker == "w-0"


def test_overdue_gang_preempts_nothing_in_an_evacuated_zone():
    """Guards against stopped tasks that do not complete the gang."""
    running = [make_running(worker="w-1", amounts=Amounts(8000, 1024, 0))]
    workers = [
        make_worker("w-0"),
        make_evacuated(withheld=FULL),
        make_worker("w-2", free=FULL),
    ]
    planner = make_planner(workers, [make_gang(cpu=7000)], running=running)
    for seconds in (0, 700, 1400):
        assert not planner.plan(NOW + seconds).preemptions


def test_restored_worker_is_used_again():
    """Guards against a mask of the fleet that is not computed again."""
    planner = make_planner([make_evacuated()], [make_job()])
    assert not planner.plan(NOW).placements
    planner.state.fleet.put_worker(make_worker("w-1", zone="b"))
    assert list_placed(planner.plan(NOW + 1)) == [("j-0", 0, "w-1")]


def test_explanation_names_the_evacuation_only_if_it_is_the_reason():
    """Guards against operators who look for the wrong reason."""
    full = make_worker("w-0", free=FULL)
    planner = make_planner([full, make_evacuated()], [make_job()])
    planner.plan(NOW)
    assert "zones being evacuated: b; 1 of" in explain(planner, "j-0")
    planner = make_planner([full, make_evacuated(withheld=FULL)], [make_job()])
    planner.plan(NOW)
    assert "evacuated" not in explain(planner, "j-0")
    planner = make_planner([make_evacuated(withheld=FULL)], [make_job()])
    planner.plan(NOW)
    assert "zones being evacuated: b; 0 of" in explain(planner, "j-0")
    required = make_job(required={"zone": "a"})
    planner = make_planner([full, make_evacuated()], [required])
    planner.plan(NOW)
    assert "evacuated" not in explain(planner, "j-0")


def test_explanation_of_a_gang_adds_up_the_withheld_capacity():
    """Guards against a gang whose tasks fit one by one, but not together."""
    workers = [make_worker("w-0"), make_evacuated("w-1")]
    planner = make_planner(workers, [make_gang()])
    planner.plan(NOW)
    assert "zones being evacuated: b; 1 of" in explain(planner, "whole")
    planner = make_planner(workers, [make_gang(3)])
    planner.plan(NOW)
    assert "evacuated" not in explain(planner, "whole")
