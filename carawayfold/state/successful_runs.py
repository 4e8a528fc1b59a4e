"""Contents that completed a run without a crash of the endpoint.

A content that callers request often is in flight at many crashes by coincidence. It
also completes runs in between, at any router, which a harmful content does not.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawayfold.state.ids import ContentId

#: Seconds after the loss of an endpoint for which each completed run is recorded. The
#: time between two losses caused by one harmful content is far shorter.
WATCH_DURATION = 120.0
#: Bytes of a body up to which completed runs are recorded at any time. Contents that
#: are requested often are short, and their digest takes 8 us of the 1,500 us that a
#: request costs. That of a long body would take 72 us even while no endpoint is lost.
MAX_SHORT_BODY_BYTES = 4096
#: Seconds for which a completed run is evidence that its content is harmless: the time
#: within which a caller may request the same content again.
SUCCESS_EVIDENCE_DURATION = 120.0
#: Most contents with a recorded run: 0.4 MB of memory.
MAX_RUNS = 2000


class SuccessfulRuns(msgspec.Struct):
    """Last completed run of each content at this router.

    Attributes
    ----------
    watch_until : float
        Monotonic seconds until which every completed run is recorded.
    ended : OrderedDict
        Monotonic seconds of the last completed run, by content.
    """

    watch_until: float = float("-inf")
    ended: OrderedDict[ContentId, float] = msgspec.field(default_factory=OrderedDict)

    def watch(self, now: float) -> None:
        """Record all completed runs for `WATCH_DURATION`, as an endpoint was lost."""
        self.watch_until = now + WATCH_DURATION

    def should_record(self, body: bytes, now: float) -> bool:
        """Return whether to record a completed run of a request with this body."""
        return len(body) <= MAX_SHORT_BODY_BYTES or now < self.watch_until

    def note(self, content: ContentId, now: float) -> None:
        """Record that a content has completed a run."""
        self.ended[content] = now
        self.ended.move_to_end(content)
        if len(self.ended) > MAX_RUNS:
            self.ended.popitem(last=False)

    def last(self, content: ContentId, now: float) -> float | None:
        """Return when a content last completed a run, in monotonic seconds.

        None if that is longer ago than `SUCCESS_EVIDENCE_DURATION`, or not known.
        """
        at = self.ended.get(content)
        return at if at is not None and now - at < SUCCESS_EVIDENCE_DURATION else None
