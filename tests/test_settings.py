"""Settings and their checks."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold import settings

EXAMPLES = sorted(Path("examples").glob("*.json"))


def values(**changes):
    return {
        "router": "router-1",
        "data_centre": "north",
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "fleet_secret": "0123456789abcdef",
        "log": "127.0.0.1:1",
        "instances": "127.0.0.1:2",
        **changes,
    }


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_examples_pass(path):
    assert settings.load(path).is_ok()


def test_there_is_an_example_for_each_deployment():
    assert {path.stem for path in EXAMPLES} == {"altiplano", "bantayog"}


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        ({"colour": 1}, ["colour", "no such setting", "listen"]),
        ({"listen": "localhost:80"}, ["listen", "IP address"]),
        ({"queue_total": "many"}, ["queue_total", "int"]),
        ({"scheduling": "random"}, ["scheduling", "granted"]),
        ({"retry_budget": 2}, ["retry_budget", "0 to 1"]),
        ({"fleet_secret": "short"}, ["fleet_secret", "16"]),
    ],
)
def test_errors_name_the_file_the_setting_and_the_allowed_values(changes, words):
    faults = settings.check(values(**changes), "router.json").error
    assert len(faults) == 1
    assert all(word in faults[0] for word in ["router.json", *words])


def test_required_settings_are_named():
    faults = settings.check({}, "router.json").error
    assert any("fleet_secret" in fault and "required" in fault for fault in faults)


@given(
    st.dictionaries(
        st.sampled_from([s.name for s in settings.TABLE]),
        st.none() | st.text() | st.integers() | st.lists(st.integers()),
    )
)
def test_any_value_is_accepted_or_gives_an_error(changes):
    result = settings.check(values(**changes), "router.json")
    assert result.is_ok() or result.error
