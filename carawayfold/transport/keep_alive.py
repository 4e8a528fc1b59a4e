"""For how long an idle connection is reused, by the timeout that its peer states.

The remote side closes a connection that was idle for its timeout. A request that is
sent at that moment meets a closed connection, and whether it ran stays unknown.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Seconds after which an idle connection is closed instead of reused.
IDLE_TIMEOUT = 20.0
#: Fraction of the keep-alive timeout announced by the remote side that is used, so
#: that the remote side does not close a connection while a request is being sent.
KEEP_ALIVE_FRACTION = 0.5
#: Seconds before the end of the announced timeout from which a connection is no longer
#: reused. Covers a round trip, one retransmission of a lost packet after 0.2 s, and
#: late timers on both sides. Half of a timeout below 0.5 s is used instead.
CLOSE_MARGIN = 0.25
#: Accepted keep-alive timeouts.
KEEP_ALIVE_SECONDS = re.compile(r"[0-9]{1,9}")


def announced_timeout(headers: Mapping[str, str]) -> int | None:
    """Return the idle timeout in seconds that a response announces, if any.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the response, names in lower case.
    """
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and KEEP_ALIVE_SECONDS.fullmatch(value.strip()):
            return int(value)
    return None


def reuse_timeout(announced: int | None, reuse_longer: bool = False) -> float:
    """Return the seconds for which a connection may be reused once idle.

    Parameters
    ----------
    announced : int or None
        Timeout in seconds that the remote side announced.
    reuse_longer : bool
        Whether all but a margin of the announced timeout is used instead of a fraction.
    """
    if announced is None:
        return IDLE_TIMEOUT
    used = announced * KEEP_ALIVE_FRACTION
    if reuse_longer:
        used = max(used, announced - CLOSE_MARGIN)
    return min(IDLE_TIMEOUT, used)


def unrepeatable_timeout(announced: int | None, idle_most: float) -> float:
    """Return the seconds for which one may be reused by requests that run only once.

    For these, a connection that is closed meanwhile is worse than a new one: they keep
    the greater distance of a fraction from an announced timeout.

    Parameters
    ----------
    announced : int or None
        Timeout in seconds that the remote side announced.
    idle_most : float
        Seconds for which a connection may be used, whatever timeout is announced.
    """
    if announced is None:
        return idle_most
    return min(idle_most, announced * KEEP_ALIVE_FRACTION)
