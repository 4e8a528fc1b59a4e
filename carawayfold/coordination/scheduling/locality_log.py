"""Log lines on requests that begin or end to leave a data centre because of load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.coordination.scheduling.data_centre_pairs import Transfer
    from carawayfold.state.ids import PoolId

logger = logbook.Logger(__name__)


def log_transfers(pool: PoolId, transfers: Iterable[Transfer]) -> None:
    """Log begins and ends of sending between data centres for a pool."""
    for transfer in transfers:
        extra = {"pool": pool, "origin": transfer.origin, "target": transfer.target}
        if transfer.begins:
            wait = transfer.local_wait
            extra |= {
                "local_wait_ms": None if wait is None else round(wait * 1000, 1),
                "remote_wait_ms": round(transfer.remote_wait * 1000, 1),
                "cost_ms": round(transfer.cost * 1000, 1),
                "budget": round(transfer.budget, 1),
            }
            logger.info("requests leave their data centre", extra=extra)
            continue
        extra |= {"requests": transfer.requests, "bytes": transfer.sent_bytes}
        logger.info("requests stay in their data centre again", extra=extra)
