"""Model check: no order of events reverts a version, or hides one permanently."""

from __future__ import annotations

from carawayfold.coordination.knowledge.knowledge import Knowledge
from tests.configuration_model import Event, Model
from tests.model_check import check

#: Events in sequence: enough for a late answer after a restore and a restart.
DEPTH = 8


def test_no_router_goes_back_or_lacks_a_version():
    checked = check(Model, DEPTH, Model.lags)
    assert checked.counterexample is None
    assert checked.states > 1000


def test_the_check_finds_a_late_answer_that_takes_a_version_back(monkeypatch):
    def take(self, table, source):
        self.routes = table

    monkeypatch.setattr(Knowledge, "apply_routes", take)
    assert check(Model, DEPTH, Model.lags).counterexample is not None


def test_the_check_finds_a_version_that_is_missed(monkeypatch):
    def take(self, page, listed=False):
        for item in page.items[1:] if not listed else page.items:
            self.apply_routes(item, "store")

    monkeypatch.setattr(Knowledge, "apply_operator_records", take)
    assert Event.WRITE in check(Model, DEPTH, Model.lags).counterexample
