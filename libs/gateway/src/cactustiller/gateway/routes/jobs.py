"""Jobs: submission, state, explanation and cancellation."""

import structlog
from aiohttp import web

from cactustiller.model import ErrorCode, FailureError, JobSpec, TaskState
from cactustiller.model.messages import (
    CancelJob,
    ExplainJob,
    GetJob,
    ListJobs,
    SubmitJob,
)
from cactustiller.ownership import home_of_team

from ..bodies import Submission, read_body, read_idempotency_key
from ..context import get_authorization, get_gateway
from ..errors import make_refusal, raise_failure
from ..jobids import home_of_job, is_submitted_by, make_job_id

SUBMIT_TIMEOUT_SECONDS = 12.0
QUERY_TIMEOUT_SECONDS = 6.0

log = structlog.get_logger(__name__)


async def submit_job(request):
    """Accept a job at its home, once for each idempotency key."""
    gateway = get_gateway(request)
    caller = gateway.access_control.identify(get_authorization(request))
    body = await read_body(request, Submission)
    values = gateway.access_control.check_submission(caller, body.team, body.queue)
    spec = make_spec(body, values)
    key = read_idempotency_key(request)
    job = make_job_id(body.team, caller.team or caller.key, key)
    home = home_of_team(body.team)
    message = SubmitJob(home=home, job=job, spec=spec, key=caller.key)
    answer = await gateway.owner_client.call(home, message, SUBMIT_TIMEOUT_SECONDS)
    if answer.is_err():
        gateway.metrics.count("submissions_refused")
        raise_failure(answer.unwrap_err(), job=job)
    view = answer.unwrap()
    if view.spec != spec:
        reason = f"the Idempotency-Key belongs to job {job} with another content"
        raise make_refusal(ErrorCode.CONFLICT, "submit job", reason)
    gateway.metrics.count("submissions_accepted")
    log.info("job_accepted", job=job, team=body.team, queue=body.queue, key=caller.key)
    return web.json_response({"job": job, "state": view.state}, status=202)


def make_spec(body, values):
    """Return the `JobSpec` of a submission within its queue's limits."""
    spec = JobSpec(
        name=body.name,
        team=body.team,
        queue=body.queue,
        kind=body.kind or values.kind,
        urgency=values.urgency,
        task_count=body.task_count,
        template=body.template,
        deadline_seconds=body.deadline_seconds,
        max_attempts=body.max_attempts or values.max_attempts,
    )
    resources = spec.template.resources
    _check_limit("task_count", spec.task_count, values.max_tasks_per_job)
    _check_limit("max_attempts", spec.max_attempts, values.max_attempts)
    prefix = "template.resources"
    _check_limit(
        f"{prefix}.cpu_millis", resources.cpu_millis, values.max_task_cpu_millis
    )
    _check_limit(
        f"{prefix}.memory_mib", resources.memory_mib, values.max_task_memory_mib
    )
    _check_limit(
        "template.run_seconds", spec.template.run_seconds, values.max_run_seconds
    )
    return spec


def _check_limit(field, value, limit):
    if limit and value > limit:
        reason = f"{field}: {value} exceeds the queue's limit of {limit}"
        raise make_refusal(ErrorCode.INVALID, "check limits", reason)


async def show_job(request):
    """Answer a job's state."""
    view = await _get_view(request, request.query.get("detail") == "1")
    return web.json_response(render_job(view))


async def cancel_job(request):
    """Cancel a job; repeating it is harmless."""
    found = await _get_view(request)
    view = await _call_home(request, CancelJob(home=_find_home(request), job=found.job))
    return web.json_response({"job": view.job, "state": view.state}, status=202)


async def explain_job(request):
    """Answer why a job waits or how it was placed."""
    found = await _get_view(request)
    message = ExplainJob(home=_find_home(request), job=found.job)
    explanation = await _call_home(request, message)
    return web.json_response({"job": found.job, "lines": explanation.lines})


async def list_jobs(request):
    """Answer a team's jobs."""
    gateway = get_gateway(request)
    caller = gateway.access_control.identify(get_authorization(request))
    team = request.query.get("team", caller.team)
    if not team:
        raise make_refusal(ErrorCode.INVALID, "read query", "team: missing")
    gateway.access_control.check_team(caller, team)
    message = ListJobs(team=team, home=home_of_team(team))
    listing = await _call_home(request, message)
    jobs = [render_job(view) for view in listing.jobs]
    return web.json_response({"jobs": jobs})


def render_job(view):
    """Return a `JobView` in the form of the HTTP interface."""
    fields = view.model_dump(mode="json")
    counts = {state: fields.pop(state) for state in TaskState}
    details = fields.pop("tasks")
    return {**fields, "tasks": counts} | ({"tasks_detail": details} if details else {})


async def _get_view(request, detail=False):
    """Return the `JobView` of the path's job if the caller may see it."""
    gateway = get_gateway(request)
    caller = gateway.access_control.identify(get_authorization(request))
    job = request.match_info["job"]
    message = GetJob(home=_find_home(request), job=job, detail=detail)
    view = await _call_home(request, message)
    if not is_submitted_by(job, caller.team or caller.key):
        gateway.access_control.check_team(caller, view.spec.team)
    return view


def _find_home(request):
    job = request.match_info["job"]
    home = home_of_job(job)
    if home is None:
        raise make_refusal(ErrorCode.NOT_FOUND, "find job", f"{job!r} is no job id")
    return home


async def _call_home(request, message):
    owner_client = get_gateway(request).owner_client
    answer = await owner_client.call(message.home, message, QUERY_TIMEOUT_SECONDS)
    if answer.is_err():
        raise FailureError(answer.unwrap_err())
    return answer.unwrap()


ROUTES = (
    web.post("/v1/jobs", submit_job),
    web.get("/v1/jobs", list_jobs),
    web.get("/v1/jobs/{job}", show_job),
    web.get("/v1/jobs/{job}/explain", explain_job),
    web.delete("/v1/jobs/{job}", cancel_job),
)
