"""Model check: no order of events restores an endpoint known to leave."""

from __future__ import annotations

from carawayfold.coordination.knowledge.knowledge import Knowledge
from carawayfold.state.endpoints import EndpointTable
from tests.knowledge_model import Event, Model
from tests.model_check import check

#: Events in sequence: enough for a restore between a late answer and a list.
DEPTH = 7


def test_an_endpoint_that_leaves_never_comes_back():
    checked = check(Model, DEPTH)
    assert checked.counterexample is None
    assert checked.states > 1000


def test_the_check_finds_a_late_answer_that_overwrites(monkeypatch):
    def take_all(self, page):
        """Apply each record, as if none could be older than a peer's list."""
        for item in page.items:
            self._apply(item, self.loop.time(), page.next)
        self.endpoints.offset = max(self.endpoints.offset, page.next)

    monkeypatch.setattr(Knowledge, "apply_registrations", take_all)
    assert Event.A_TAKES in check(Model, DEPTH).counterexample


def test_the_check_finds_a_copy_that_brings_back_what_had_gone(monkeypatch):
    monkeypatch.setattr(
        EndpointTable, "without_deregistered", lambda self, endpoints, now: endpoints
    )
    assert Event.RESTORE in check(Model, DEPTH).counterexample


def test_the_check_finds_an_entry_that_overwrites_an_answer(monkeypatch):
    monkeypatch.setattr(EndpointTable, "registered", lambda self, endpoint: None)
    assert Event.ANSWERS in check(Model, DEPTH).counterexample
