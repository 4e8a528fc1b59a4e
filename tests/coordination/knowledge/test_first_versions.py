"""First configurations of version 0."""

from __future__ import annotations

import pytest

from carawayfold.protocol.sources import Page
from tests.knowledge_builders import knowledge, run_in_loop, table


# Guards against a version 0 that is taken for no configuration: it was treated as
# overtaken by a peer's, whose routes are unknown, and the error ended the router.
@pytest.mark.parametrize("listed", [True, False])
@pytest.mark.parametrize("version", [0, 1])
def test_a_first_configuration_of_version_0_ended_the_router(version, listed):
    async def run():
        known, taken = knowledge()
        known.apply_operator_records(Page([table(version)], 1), listed)
        return taken, known.version, known.in_force.version

    assert run_in_loop(run) == ([version], version, version)


# Guards against a version 0 that peers or the store put in force again and again.
def test_version_0_is_replaced_by_later_versions_only():
    async def run():
        known, taken = knowledge()
        for version in (0, 0, 2, 1, 0):
            known.apply_routes(table(version), "peer")
            known.apply_operator_records(Page([table(version)], 1))
        return taken

    assert run_in_loop(run) == [0, 2]
