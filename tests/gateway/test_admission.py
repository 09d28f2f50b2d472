import pytest

from cactustiller.gateway.admission import AdmissionControl
from cactustiller.gateway.queueing import RequestQueue
from cactustiller.model import FailureError, Outcome, Urgency

pytestmark = pytest.mark.looptime


def build_admission(seconds):
    admission = AdmissionControl("prices")
    admission.record(seconds)
    return admission


def check(admission, ahead, slots, seconds=10.0, most=1000):
    admission.check(ahead, ahead, slots, seconds, most)


async def test_request_that_would_wait_too_long_is_refused_at_once():
    admission = build_admission(1.0)
    check(admission, 3, 4)
    with pytest.raises(FailureError) as caught:
        check(admission, 40, 4)
    failure = caught.value.failure
    assert failure.outcome is Outcome.NOT_RUN
    assert failure.retry_after_ms == 10_250


async def test_request_that_cannot_end_in_time_is_refused():
    with pytest.raises(FailureError):
        check(build_admission(1.0), 0, 4, seconds=0.9)


async def test_full_queue_refuses():
    with pytest.raises(FailureError):
        check(build_admission(0.001), 5, 4, most=5)


async def test_urgent_requests_are_served_first():
    queue = RequestQueue()
    waiters = {urgency: queue.add(urgency, ()) for urgency in reversed(Urgency)}
    assert queue.count_ahead(Urgency.URGENT) == 1
    assert queue.count_ahead(Urgency.IDLE) == 3

    class Free:
        executor = "x1"

    assert queue.assign(Free)
    assert waiters[Urgency.URGENT].future.done()
    assert queue.assign(Free)
    assert waiters[Urgency.NORMAL].future.done()


async def test_excluded_executor_is_not_served():
    queue = RequestQueue()
    queue.add(Urgency.NORMAL, ("x1",))

    class Free:
        executor = "x1"

    assert not queue.assign(Free)
