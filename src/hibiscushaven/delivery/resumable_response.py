"""Responses whose body is resumed by range requests when an attempt is truncated."""

import re
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass
from typing import Self

from .attempts import AttemptResponse
from .headers import Headers, find_header
from .outcome import AttemptError, FailureKind

__all__ = ["MAX_RESUMES", "ResumableResponse", "Resume"]

MAX_RESUMES = 3

# Failures after which another attempt may deliver the rest of the body.
_RESUMABLE_KINDS = frozenset(
    {FailureKind.TRUNCATED, FailureKind.SILENT, FailureKind.CONNECTION_LOST}
)
_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+|\*)")

Resume = Callable[[Headers], Awaitable[AttemptResponse]]


@dataclass(frozen=True, slots=True)
class _ByteRange:
    """Range of the complete body that a response contains.

    :ivar start: offset of the first byte.
    :ivar end: offset after the last byte; ``None`` if the response does not state it.
    """

    start: int
    end: int | None


class ResumableResponse:
    """A response whose body is resumed by range requests when an attempt fails.

    Explanation
    ===========

    Iteration ends normally only after the last byte. When an attempt fails within the body,
    ``resume`` is called with the headers of a range request for the rest. The rest is yielded
    only if its entity tag, content encoding, byte range and total size match the bytes yielded
    before. Without ``resume``, or when the first response has no strong entity tag, the error
    of the attempt is raised.

    See Also
    ========

    hibiscushaven.delivery.attempts.AttemptResponse : the response of one attempt

    :param response: response of the first attempt.
    :param resume: starts a new attempt with additional headers; ``None`` unless the request is
        an idempotent GET.
    :param max_resumes: maximum number of range requests.
    :ivar bytes_yielded: bytes of the body yielded so far.
    :ivar resumes: number of range requests made.
    """

    def __init__(
        self,
        response: AttemptResponse,
        resume: Resume | None = None,
        max_resumes: int = MAX_RESUMES,
    ) -> None:
        self.status = response.status
        self.headers = response.headers
        self.bytes_yielded = 0
        self.resumes = 0
        self._response = response
        self._resume = resume
        self._max_resumes = max_resumes
        self._byte_range = _byte_range(response)

    @property
    def is_resumable(self) -> bool:
        """Whether a later range can be verified to belong to the same body."""
        is_known = self.status == 200 or (self.status == 206 and self._byte_range is not None)
        return self._resume is not None and is_known and _strong_etag(self.headers) is not None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self) -> None:
        await self._response.close()

    async def __aiter__(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; iteration ends normally only if the body is complete.

        :raises AttemptError: when the body is incomplete and could not be resumed.
        """
        try:
            while True:
                try:
                    async for chunk in self._response:
                        self.bytes_yielded += len(chunk)
                        yield chunk
                    return
                except AttemptError as error:
                    if error.kind not in _RESUMABLE_KINDS or not self.is_resumable:
                        raise
                    if self._is_complete:
                        return
                    await self._resume_after(error)
        finally:
            await self.close()

    @property
    def _is_complete(self) -> bool:
        """Whether all bytes arrived, even if the attempt failed after the last one."""
        byte_range = self._byte_range
        return (
            byte_range is not None
            and byte_range.end is not None
            and byte_range.start + self.bytes_yielded == byte_range.end
        )

    async def _resume_after(self, error: AttemptError) -> None:
        if self.resumes >= self._max_resumes or self._resume is None:
            raise error
        self.resumes += 1
        response = await self._resume(self._range_headers())
        problem = self._find_mismatch(response)
        if problem is not None:
            await response.close()
            raise AttemptError(FailureKind.TRUNCATED, f"not resumed: {problem}") from error
        self._response = response

    def _range_headers(self) -> Headers:
        start = self._next_byte
        end = self._byte_range.end if self._byte_range is not None else None
        last = "" if end is None else str(end - 1)
        etag = _strong_etag(self.headers) or ""
        return (("Range", f"bytes={start}-{last}"), ("If-Range", etag))

    @property
    def _next_byte(self) -> int:
        return self.bytes_yielded + (self._byte_range.start if self._byte_range is not None else 0)

    def _find_mismatch(self, response: AttemptResponse) -> str | None:
        """Return why a response does not continue the body, or ``None`` if it does."""
        if response.status != 206:
            return f"status {response.status}"
        if _strong_etag(response.headers) != _strong_etag(self.headers):
            return "another entity tag"
        encodings = (find_header(item.headers, "Content-Encoding") for item in (self, response))
        if len(set(encodings)) != 1:
            return "another encoding"
        byte_range = _byte_range(response)
        if byte_range is None or byte_range.start != self._next_byte:
            return f"other positions than from {self._next_byte}"
        if self._byte_range is not None and self._byte_range.end not in (None, byte_range.end):
            return f"end at {byte_range.end} in place of {self._byte_range.end}"
        if self._byte_range is None or self._byte_range.end is None:
            return self._set_end_from(response, byte_range)
        return None

    def _set_end_from(self, response: AttemptResponse, byte_range: _ByteRange) -> str | None:
        """Set the end of a body without a declared length from the response with its rest.

        Return a reason when the response does not extend to the end of the body.
        """
        match = _CONTENT_RANGE.fullmatch(find_header(response.headers, "Content-Range") or "")
        if match is None or not match[3].isdecimal() or int(match[3]) != byte_range.end:
            return "the response does not hold the whole rest"
        self._byte_range = _ByteRange(
            self._byte_range.start if self._byte_range else 0, byte_range.end
        )
        return None


def _byte_range(response: AttemptResponse) -> _ByteRange | None:
    if response.status == 206:
        match = _CONTENT_RANGE.fullmatch(find_header(response.headers, "Content-Range") or "")
        return None if match is None else _ByteRange(int(match[1]), int(match[2]) + 1)
    return _ByteRange(0, response.content_length)


def _strong_etag(headers: Headers) -> str | None:
    etag = find_header(headers, "ETag")
    return etag if etag is not None and etag.startswith('"') else None
