"""Runs of jobs whose broken bodies are continued on another backend server."""

import itertools
from dataclasses import replace

from hibiscushaven.delivery import AttemptError, FailureKind, Headers, ResumableResponse

from .jobs import BackendAnswer, Job, WorkRefusedError
from .shard_runner import ShardRunner

__all__ = ["run_complete"]

_RANGE_HEADERS = frozenset({"range", "if-range"})


async def run_complete(runner: ShardRunner, job: Job) -> BackendAnswer | ResumableResponse:
    """Run a job; the rest of a body that breaks off is asked for as a job of its own.

    The jobs for the rest take slots, budgets and deadline like any other, so that a backend
    server that cuts off bodies does not get more work than its slots.

    :raises WorkRefusedError: when the shard gives the job up.
    """
    answer = await runner.run(job)
    if answer.is_buffered or job.method != "GET" or not job.work.is_idempotent:
        return answer
    numbers = itertools.count(1)

    async def resume(headers: Headers) -> BackendAnswer:
        kept = tuple(pair for pair in job.headers if pair[0].lower() not in _RANGE_HEADERS)
        work = replace(job.work, id=f"{job.work.id}-{next(numbers)}")
        rest = Job(work, job.method, job.target, (*kept, *headers), job.body)
        try:
            return await runner.run(rest)
        except WorkRefusedError as error:
            raise AttemptError(FailureKind.TRUNCATED, f"not resumed: {error.reason}") from error

    return ResumableResponse(answer, resume)
