"""Runs jobs and resumes truncated response bodies on another backend server."""

import itertools
from dataclasses import replace

from hibiscushaven.delivery import AttemptError, FailureKind, Headers, ResumableResponse

from .jobs import BackendResponse, Job, WorkRefusedError
from .shard_runner import ShardRunner

__all__ = ["run_with_resumption"]

_RANGE_HEADERS = frozenset({"range", "if-range"})


async def run_with_resumption(runner: ShardRunner, job: Job) -> BackendResponse | ResumableResponse:
    """Run a job; if its body is truncated, request the rest with a further job.

    The further jobs use slots, retry budgets and the deadline like any other job, so that a
    backend server that truncates bodies does not get more requests than its slots.

    :raises WorkRefusedError: when the shard refuses the job.
    """
    response = await runner.run(job)
    if response.is_buffered or job.method != "GET" or not job.work.is_idempotent:
        return response
    resume_numbers = itertools.count(1)

    async def resume(headers: Headers) -> BackendResponse:
        kept = tuple(pair for pair in job.headers if pair[0].lower() not in _RANGE_HEADERS)
        work = replace(job.work, id=f"{job.work.id}-{next(resume_numbers)}")
        rest_job = Job(work, job.method, job.target, (*kept, *headers), job.body)
        try:
            return await runner.run(rest_job)
        except WorkRefusedError as error:
            raise AttemptError(FailureKind.TRUNCATED, f"not resumed: {error.reason}") from error

    return ResumableResponse(response, resume)
