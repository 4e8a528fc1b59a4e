"""What the command tells of a router's configuration."""

from __future__ import annotations

import msgspec
import pytest

from carawayfold.commands.explain import _format_request
from carawayfold.protocol import explanations
from carawayfold.protocol.explanations import RequestAnswer


@pytest.mark.parametrize(
    ("version", "text"),
    [
        (msgspec.UNSET, "router-1, no configuration"),
        (0, "router-1, configuration 0"),
        (7, "router-1, configuration 7"),
    ],
)
def test_no_configuration_is_told_from_version_0(version, text):
    data = explanations.encode(RequestAnswer("router-1", version))
    answer = explanations.decode(data, RequestAnswer)
    assert _format_request(answer)[0] == f"router {text}"


# The command of an earlier version takes an absent version for none.
def test_an_answer_without_a_configuration_states_no_version():
    data = explanations.encode(RequestAnswer("router-1"))
    assert "version" not in msgspec.json.decode(data)
