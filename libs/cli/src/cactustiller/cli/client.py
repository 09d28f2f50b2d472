"""Client of the HTTP interface with typed answers."""

from typing import TypeVar
from urllib.parse import quote
from uuid import uuid4

from pydantic import ValidationError
from result import Err, Ok, Result

from cactustiller.model import ErrorCode, Failure, JobSpec, Outcome

from . import replies
from .submissions import JobSubmission
from .transport import Call, Transport

ReplyT = TypeVar("ReplyT", bound=replies.Reply)


class GatewayClient:
    """Calls the gateways of one cell; use it as an asynchronous context.

    Parameters
    ----------
    gateways : sequence of str
        Addresses ``ip:port`` in order of preference.
    key : str, optional
        Bearer key.
    deadline_seconds : float
        Time for one call with all its attempts.
    retries : int
        Further rounds after a refusal that did not run, each after `Retry-After`.
    """

    def __init__(self, gateways, key=None, *, deadline_seconds=10.0, retries=0):
        self._transport = Transport(
            gateways, key, deadline_seconds=deadline_seconds, retries=retries
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        await self.close()

    async def close(self):
        """Close all connections."""
        await self._transport.close()

    async def submit_job(
        self, job: JobSubmission | JobSpec, idempotency_key: str | None = None
    ) -> Result[replies.JobAccepted, Failure]:
        """Submit a job once, whatever number of attempts that takes."""
        token = idempotency_key or uuid4().hex
        result = await self._call(
            replies.JobAccepted,
            Call(
                step="submit job",
                method="POST",
                path="/v1/jobs",
                headers={"Idempotency-Key": token},
                # The queue, not the submitter, settles the urgency.
                body=job.model_dump(
                    mode="json", exclude={"urgency"}, exclude_none=True
                ),
                repeatable=True,
            ),
        )
        return result.map_err(lambda failure: _add_token(failure, token))

    async def get_job(
        self, job: str, detail: bool = False
    ) -> Result[replies.JobStatus, Failure]:
        """Return a job, with its tasks if `detail`."""
        query = {"detail": "1"} if detail else {}
        path = f"/v1/jobs/{_quote(job)}"
        return await self._get(replies.JobStatus, "read job", path, **query)

    async def list_jobs(self, team: str) -> Result[replies.JobList, Failure]:
        """Return the jobs of a team."""
        return await self._get(replies.JobList, "list jobs", "/v1/jobs", team=team)

    async def explain_job(self, job: str) -> Result[replies.Explanation, Failure]:
        """Return why a job waits or how it was placed."""
        path = f"/v1/jobs/{_quote(job)}/explain"
        return await self._get(replies.Explanation, "explain job", path)

    async def cancel_job(self, job: str) -> Result[replies.JobAccepted, Failure]:
        """Cancel a job; cancelling it twice is cancelling it once."""
        path = f"/v1/jobs/{_quote(job)}"
        call = Call("cancel job", "DELETE", path, repeatable=True)
        return await self._call(replies.JobAccepted, call)

    async def send_request(
        self,
        service: str,
        body: bytes,
        *,
        idempotent: bool = False,
        deadline_seconds: float = 10.0,
        work_ms: int | None = None,
        request_id: str | None = None,
    ) -> Result[replies.ServiceAnswer, Failure]:
        """Send an interactive request; only an idempotent one is ever resent."""
        request = request_id or uuid4().hex
        headers = {
            "X-Deadline-Ms": str(max(int(deadline_seconds * 1000), 1)),
            "X-Idempotent": str(int(idempotent)),
            "X-Request-Id": request,
            "Content-Type": "application/octet-stream",
        }
        if work_ms is not None:
            headers["X-Work-Ms"] = str(work_ms)
        call = Call(
            step="send request",
            method="POST",
            path=f"/v1/requests/{_quote(service)}",
            headers=headers,
            body=body,
            repeatable=idempotent,
            deadline_seconds=deadline_seconds,
        )
        return (await self._transport.send(call)).map(
            lambda answer: replies.ServiceAnswer(
                body=answer.body, content_type=answer.content_type, request=request
            )
        )

    async def get_settings(self) -> Result[replies.SettingsDocument, Failure]:
        """Return the whole tree with its version."""
        return await self._get(
            replies.SettingsDocument, "read settings", "/v1/settings"
        )

    async def put_settings(
        self, expected_version: int, tree: dict, note: str = ""
    ) -> Result[replies.SettingsVersion, Failure]:
        """Replace the tree if `expected_version` is still in force."""
        body = {"expected_version": expected_version, "tree": tree, "note": note}
        call = Call("replace settings", "PUT", "/v1/settings", body=body)
        return await self._call(replies.SettingsVersion, call)

    async def patch_settings(
        self, path: str, name: str, value, note="", expected_version=None
    ) -> Result[replies.SettingsVersion, Failure]:
        """Set one value; None removes it, so that it is inherited again."""
        body = {"path": path, "name": name, "value": value, "note": note}
        body |= _name_version(expected_version)
        call = Call("change settings", "PATCH", "/v1/settings", body=body)
        return await self._call(replies.SettingsVersion, call)

    async def show_settings(self, path) -> Result[replies.SettingsValues, Failure]:
        """Return the values in force at `path` with their origins."""
        return await self._get(
            replies.SettingsValues, "show settings", "/v1/settings/show", path=path
        )

    async def get_settings_status(self) -> Result[replies.SettingsStatus, Failure]:
        """Return the version in force on each member."""
        return await self._get(
            replies.SettingsStatus, "read settings status", "/v1/settings/status"
        )

    async def get_settings_history(self) -> Result[replies.SettingsHistory, Failure]:
        """Return the earlier versions."""
        return await self._get(
            replies.SettingsHistory, "read settings history", "/v1/settings/history"
        )

    async def diff_settings(
        self, old: int, new: int
    ) -> Result[replies.SettingsDiff, Failure]:
        """Return the values that differ between two versions."""
        query = {"from": str(old), "to": str(new)}
        path = "/v1/settings/diff"
        return await self._get(replies.SettingsDiff, "compare settings", path, **query)

    async def rollback_settings(
        self, to_version: int, note="", expected_version=None
    ) -> Result[replies.SettingsVersion, Failure]:
        """Put the tree of an earlier version in force as a new version."""
        body = {"to_version": to_version, "note": note}
        body |= _name_version(expected_version)
        call = Call("roll settings back", "POST", "/v1/settings/rollback", body=body)
        return await self._call(replies.SettingsVersion, call)

    async def add_team(
        self, team: str, values: dict | None = None
    ) -> Result[replies.Acknowledgement, Failure]:
        """Create a team with the given settings values."""
        return await self._post("add team", "/v1/teams", team=team, values=values or {})

    async def add_queue(
        self, team: str, queue: str, values: dict | None = None
    ) -> Result[replies.Acknowledgement, Failure]:
        """Create a queue of a team with the given settings values."""
        return await self._post(
            "add queue", "/v1/queues", team=team, queue=queue, values=values or {}
        )

    async def create_key(
        self, team: str | None, name: str, operator: bool = False
    ) -> Result[replies.KeyCreated, Failure]:
        """Create a key of a team, or of an operator if `team` is None."""
        body = {"team": team, "name": name, "operator": operator}
        call = Call("create key", "POST", "/v1/keys", body=body)
        return await self._call(replies.KeyCreated, call)

    async def list_keys(
        self, team: str | None = None
    ) -> Result[replies.KeyList, Failure]:
        """Return the keys of a team, or all."""
        query = {"team": team} if team else {}
        return await self._get(replies.KeyList, "list keys", "/v1/keys", **query)

    async def withdraw_key(self, key_id) -> Result[replies.Acknowledgement, Failure]:
        """Withdraw a key; withdrawing it twice is withdrawing it once."""
        path = f"/v1/keys/{_quote(key_id)}"
        call = Call("withdraw key", "DELETE", path, repeatable=True)
        return await self._call(replies.Acknowledgement, call)

    async def list_instances(self) -> Result[replies.InstanceList, Failure]:
        """Return members, workers and backend servers."""
        return await self._get(replies.InstanceList, "list instances", "/v1/instances")

    async def drain(self, instance: str) -> Result[replies.Acknowledgement, Failure]:
        """Start the graceful shutdown of an instance's daemons."""
        path = f"/v1/instances/{_quote(instance)}/drain"
        call = Call("drain instance", "POST", path, repeatable=True)
        return await self._call(replies.Acknowledgement, call)

    async def list_zones(self) -> Result[replies.ZoneList, Failure]:
        """Return the availability zones of the cell."""
        return await self._get(replies.ZoneList, "list zones", "/v1/zones")

    async def evacuate_zone(
        self, zone: str, note=""
    ) -> Result[replies.ZoneState, Failure]:
        """Let nothing new start in a zone; doing it twice is doing it once."""
        return await self._change_zone("evacuate", zone, note)

    async def restore_zone(
        self, zone: str, note=""
    ) -> Result[replies.ZoneState, Failure]:
        """Let work start in a zone again; doing it twice is doing it once."""
        return await self._change_zone("restore", zone, note)

    async def get_stats(self) -> Result[replies.Acknowledgement, Failure]:
        """Return counters and histograms of the cell."""
        return await self._get(replies.Acknowledgement, "read stats", "/v1/stats")

    async def check_ready(self) -> Result[replies.Acknowledgement, Failure]:
        """Return whether a gateway has settings in force and knows the owners."""
        return await self._get(replies.Acknowledgement, "check ready", "/readyz")

    async def _change_zone(self, verb, zone, note):
        path = f"/v1/zones/{_quote(zone)}/{verb}"
        body = {"note": note}
        call = Call(f"{verb} zone", "POST", path, body=body, repeatable=True)
        return await self._call(replies.ZoneState, call)

    async def _get(self, reply: type[ReplyT], step, route, /, **query):
        return await self._call(reply, Call(step, "GET", route, query=query))

    async def _post(self, step, route, /, **body):
        call = Call(step, "POST", route, body=body)
        return await self._call(replies.Acknowledgement, call)

    async def _call(self, reply: type[ReplyT], call) -> Result[ReplyT, Failure]:
        result = await self._transport.send(call)
        return result.and_then(lambda answer: _read(reply, call, answer))


def _read(reply, call, answer):
    try:
        return Ok(reply.model_validate_json(answer.body or b"{}"))
    except ValidationError as error:
        problem = error.errors()[0]
        place = ".".join(map(str, problem["loc"])) or "body"
        return Err(
            Failure(
                code=ErrorCode.PROTOCOL,
                step=call.step,
                peer=answer.peer,
                reason=f"answer is not as documented: {place}: {problem['msg']}",
                outcome=Outcome.FAILED if call.is_read else Outcome.UNKNOWN,
            )
        )


def _add_token(failure, token):
    if failure.outcome is not Outcome.UNKNOWN:
        return failure
    hint = f"submit again with the same idempotency key {token}"
    return failure.with_changes(reason=f"{failure.reason}; {hint}")


def _name_version(version):
    return {} if version is None else {"expected_version": version}


def _quote(text):
    return quote(text, safe="")
