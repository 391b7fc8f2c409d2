"""Complete bodies over several attempts: a truncated body is resumed or reported, never passed."""

import re
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass
from typing import Self

from .attempts import AttemptHead
from .headers import Headers, find_header
from .outcome import AttemptError, Stop

__all__ = ["MAX_RESUMES", "CompleteBody", "Resume"]

MAX_RESUMES = 3

# Stops that say nothing against the rest of the body coming from another attempt.
_RESUMABLE = frozenset({Stop.TRUNCATED, Stop.SILENT, Stop.CONNECTION_LOST})
_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+|\*)")

Resume = Callable[[Headers], Awaitable[AttemptHead]]


@dataclass(frozen=True, slots=True)
class _Extent:
    """Positions of the bytes that a response holds, within the whole body.

    :ivar end: position after the last byte; ``None`` if the response does not say.
    """

    start: int
    end: int | None


class CompleteBody:
    """The body of a response, resumed by range requests when an attempt breaks off.

    Explanation
    ===========

    Iteration returns normally only after the last byte. When an attempt breaks off, ``resume``
    is called with the headers of a range request for the rest; the rest is passed on only if
    its entity tag, positions and total size fit what was passed before. Without ``resume``, or
    when the first response has no strong entity tag, the stop of the attempt is raised.

    See Also
    ========

    hibiscushaven.delivery.attempts.AttemptHead : the response of one attempt

    :param head: the response of the first attempt.
    :param resume: makes a new attempt with additional headers; ``None`` unless the request is
        an idempotent GET.
    :ivar bytes_passed: bytes passed on so far.
    :ivar resumes: attempts made to resume.
    """

    def __init__(
        self, head: AttemptHead, resume: Resume | None = None, max_resumes: int = MAX_RESUMES
    ) -> None:
        self.status = head.status
        self.headers = head.headers
        self.bytes_passed = 0
        self.resumes = 0
        self._head = head
        self._resume = resume
        self._max_resumes = max_resumes
        self._extent = _extent(head)

    @property
    def is_resumable(self) -> bool:
        """Whether a rest would provably belong to what was passed on."""
        is_known = self.status == 200 or (self.status == 206 and self._extent is not None)
        return self._resume is not None and is_known and _strong_tag(self.headers) is not None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self) -> None:
        await self._head.close()

    async def __aiter__(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; return only if it was complete.

        :raises AttemptError: when it was not and could not be resumed.
        """
        try:
            while True:
                try:
                    async for chunk in self._head:
                        self.bytes_passed += len(chunk)
                        yield chunk
                    return
                except AttemptError as error:
                    if error.stop not in _RESUMABLE or not self.is_resumable:
                        raise
                    if self._is_whole:
                        return
                    await self._resume_after(error)
        finally:
            await self.close()

    @property
    def _is_whole(self) -> bool:
        """Whether all bytes arrived, although the attempt broke off after the last one."""
        extent = self._extent
        return (
            extent is not None
            and extent.end is not None
            and extent.start + self.bytes_passed == extent.end
        )

    async def _resume_after(self, error: AttemptError) -> None:
        if self.resumes >= self._max_resumes or self._resume is None:
            raise error
        self.resumes += 1
        head = await self._resume(self._range_headers())
        problem = self._mismatch(head)
        if problem is not None:
            await head.close()
            raise AttemptError(Stop.TRUNCATED, f"not resumed: {problem}") from error
        self._head = head

    def _range_headers(self) -> Headers:
        start = self._position
        end = self._extent.end if self._extent is not None else None
        last = "" if end is None else str(end - 1)
        tag = _strong_tag(self.headers) or ""
        return (("Range", f"bytes={start}-{last}"), ("If-Range", tag))

    @property
    def _position(self) -> int:
        return self.bytes_passed + (self._extent.start if self._extent is not None else 0)

    def _mismatch(self, head: AttemptHead) -> str | None:
        """Return why a response is not the rest of the body, or ``None`` if it is."""
        if head.status != 206:
            return f"status {head.status}"
        if _strong_tag(head.headers) != _strong_tag(self.headers):
            return "another entity tag"
        encodings = (find_header(item.headers, "Content-Encoding") for item in (self, head))
        if len(set(encodings)) != 1:
            return "another encoding"
        extent = _extent(head)
        if extent is None or extent.start != self._position:
            return f"other positions than from {self._position}"
        if self._extent is not None and self._extent.end not in (None, extent.end):
            return f"end at {extent.end} in place of {self._extent.end}"
        if self._extent is None or self._extent.end is None:
            return self._learn_end(head, extent)
        return None

    def _learn_end(self, head: AttemptHead, extent: _Extent) -> str | None:
        """Take the end of a body without a length from the response that holds its rest."""
        match = _CONTENT_RANGE.fullmatch(find_header(head.headers, "Content-Range") or "")
        if match is None or not match[3].isdecimal() or int(match[3]) != extent.end:
            return "the response does not hold the whole rest"
        self._extent = _Extent(self._extent.start if self._extent else 0, extent.end)
        return None


def _extent(head: AttemptHead) -> _Extent | None:
    if head.status == 206:
        match = _CONTENT_RANGE.fullmatch(find_header(head.headers, "Content-Range") or "")
        return None if match is None else _Extent(int(match[1]), int(match[2]) + 1)
    return _Extent(0, head.content_length)


def _strong_tag(headers: Headers) -> str | None:
    tag = find_header(headers, "ETag")
    return tag if tag is not None and tag.startswith('"') else None
