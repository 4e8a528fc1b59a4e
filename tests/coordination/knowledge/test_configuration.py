"""Following the configuration through outages, trimmed records and restarts."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.knowledge import configuration
from carawayfold.coordination.knowledge.configuration import ConfigFollower, ConfigState
from carawayfold.protocol.log_service import PlatformError
from carawayfold.state.configuration import ChangeState, record_encoder
from tests.builders import FakeLog, organisation_change


def follower(log, writes=False):
    return ConfigFollower(log, lambda: None, lambda: writes, 0.0 if writes else 1e9)


async def fill(log, names):
    for name in names:
        await log.append(record_encoder.encode(organisation_change(name)))


def shares(follower):
    return {key: entry.object.share for key, entry in follower.snapshot.entries.items()}


def test_trimmed_records_without_a_checkpoint_leave_it_unknown():
    async def scenario():
        log = FakeLog()
        await fill(log, "abc")
        log.trim(2)
        late = follower(log)
        await late.step()
        return late

    late = asyncio.run(scenario())
    assert late.state is ConfigState.UNKNOWN


def test_checkpoint_carries_the_configuration_past_retention():
    async def scenario():
        log = FakeLog()
        await fill(log, "abc")
        writer = follower(log, writes=True)
        await writer.step()
        await fill(log, "de")
        log.trim(3)
        late = follower(log)
        await late.step()
        await writer.step()
        return writer, late

    writer, late = asyncio.run(scenario())
    assert late.state is ConfigState.KNOWN
    assert shares(late) == shares(writer)
    assert late.snapshot.outcomes.keys() == writer.snapshot.outcomes.keys()


def test_checkpoint_with_missing_changes_after_it_is_not_used():
    async def scenario():
        log = FakeLog()
        await fill(log, "ab")
        stale = follower(log, writes=True)
        await stale.step()
        checkpoint = log.records.pop()
        await fill(log, "cd")
        log.records.append(checkpoint)
        log.trim(3)
        late = follower(log)
        await late.step()
        return late

    late = asyncio.run(scenario())
    assert late.state is ConfigState.UNKNOWN


def test_two_checkpoint_writers_do_no_harm(monkeypatch):
    monkeypatch.setattr(configuration, "PART_SIZE_BYTES", 16)

    async def scenario():
        log = FakeLog()
        await fill(log, "abc")
        writers = [follower(log, writes=True) for _ in range(2)]
        await asyncio.gather(*(writer.step() for writer in writers))
        log.trim(3)
        late = follower(log)
        await late.step()
        return late, writers[0]

    late, writer = asyncio.run(scenario())
    assert shares(late) == shares(writer)


def test_invalid_records_harm_nothing():
    async def scenario():
        log = FakeLog()
        await fill(log, "a")
        for data in (b"", b"{", b"\xff", b"[]", b'{"type":"checkpoint"}', b"[" * 9999):
            await log.append(data)
        await fill(log, "b")
        reader = follower(log)
        await reader.step()
        return reader

    assert len(shares(asyncio.run(scenario()))) == 2


def test_older_snapshot_of_a_peer_is_never_taken():
    async def scenario():
        log = FakeLog()
        await fill(log, "ab")
        old, new = follower(log), follower(log)
        await old.step()
        await fill(log, "c")
        await new.step()
        return new.adopt(old.snapshot), old.adopt(new.snapshot), old

    older, newer, old = asyncio.run(scenario())
    assert not older
    assert newer
    assert len(shares(old)) == 3


def test_lost_append_answer_still_gets_the_verdict():
    async def scenario():
        log = FakeLog()
        reader = follower(log)
        await reader.step()
        log.lose_answers = True
        change = asyncio.create_task(reader.change(organisation_change("alder")))
        await asyncio.sleep(0)
        await reader.step()
        return await change

    assert asyncio.run(scenario()).state is ChangeState.ACCEPTED


def test_change_without_a_log_is_unknown(monkeypatch):
    monkeypatch.setattr(configuration, "OUTCOME_TIMEOUT", 0.01)

    async def scenario():
        log = FakeLog()
        reader = follower(log)
        log.down = True
        with pytest.raises(PlatformError):
            await reader.step()
        return await reader.change(organisation_change("alder"))

    assert asyncio.run(scenario()) is None
