"""Names of the platform's protocol occur only in the platform folder."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

import carawayfold
from carawayfold.platform import headers, health

PACKAGE = Path(carawayfold.__file__).parent
#: Names of the platform's protocol that no other module may contain.
WIRE_NAMES = [
    "target_latency_ms",
    "path_prefix",
    "route_kind",
    "max_attempts",
    "gap_target_ms",
    "kv_capacity_tokens",
    "tokens_per_s",
    "api_keys",
    "cold_remaining_ms",
    "cold_per_s",
    health.WARM_UP_LEFT,
    "allowed_regions",
    "evacuate/",
    "log-append",
    "log-read",
    "log-newest",
    "keyed.",
    "kv-list",
    headers.COPY_FROM,
    headers.API_KEY,
    headers.ORGANISATION,
    headers.EXPECTED_ENDPOINT,
    headers.PROMPT,
    headers.TOKENS,
    headers.OUTPUT_ESTIMATE,
    headers.NOT_RUN,
    headers.SIGNATURE,
    headers.LOAD,
    headers.LEAVING,
]


def modules():
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if "platform" not in path.relative_to(PACKAGE).parts
    ]


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_no_other_module_contains_a_platform_name(name):
    pattern = re.compile(re.escape(name), re.IGNORECASE)
    containing = [path.name for path in modules() if pattern.search(path.read_text())]
    assert containing == []


def test_only_permitted_modules_name_the_adapter():
    importing = [
        path.name for path in modules() if "carawayfold.platform" in path.read_text()
    ]
    assert importing == ["gateway.py", "sources.py"]


def test_no_other_module_contains_the_request_id_header():
    pattern = re.compile(rf"(?<!x-){headers.REQUEST_ID}", re.IGNORECASE)
    containing = [path.name for path in modules() if pattern.search(path.read_text())]
    assert containing == []
