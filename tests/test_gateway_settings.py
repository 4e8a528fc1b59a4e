"""Names and addresses in the settings that the peers of a router would not accept."""

from __future__ import annotations

import pytest

from carawayfold import gateway_settings

VALUES = {
    "router": "router-0",
    "data_centre": "north",
    "listen": "0.0.0.0:8080",
    "ready_listen": "0.0.0.0:8081",
    "peer_listen": "10.0.0.1:8082",
    "store": "10.0.0.2:80",
}


def errors(**changes):
    checked = gateway_settings.check({**VALUES, **changes}, "router.json5")
    return checked.error if checked.is_error() else []


@pytest.mark.parametrize("router", ["router-0", "r 0", "é", "r" * 255])
def test_a_name_that_can_be_a_key_in_the_store_is_accepted(router):
    assert errors(router=router) == []


@pytest.mark.parametrize(
    "router",
    ["", "content/x", "a\\b", "a\0b", "a\n", "\ud800", "r" * 256, "é" * 128],
)
def test_a_name_that_peers_would_not_accept_is_an_error(router):
    [message] = errors(router=router)
    assert message.startswith("router.json5: router: must ")


@pytest.mark.parametrize("data_centre", ["", "a\0b", "n" * 256])
def test_a_data_centre_that_peers_would_not_accept_is_an_error(data_centre):
    [message] = errors(data_centre=data_centre)
    assert message.startswith("router.json5: data_centre: must ")


@pytest.mark.parametrize("host", ["0.0.0.0", "::1", "224.0.0.1", "255.255.255.255"])
def test_an_address_that_peers_can_not_reach_is_an_error(host):
    [message] = errors(peer_listen=f"{host}:8082")
    assert message.startswith("router.json5: peer_listen: must ")


#: MiB of instances, from the smallest to the largest deployed.
MEMORY = [88, 128, 150, 160, 200, 300, 552]


@pytest.mark.parametrize("memory", MEMORY)
def test_what_callers_may_hold_fits_beside_the_router(memory):
    settings = gateway_settings.check({**VALUES, "memory": memory}, "x").ok
    assert settings.held_limit > 5 << 20
    # Requests that are passed on are held twice.
    most = 2 * settings.held_limit + settings.unsent_limit
    assert most + (64 << 20) <= memory << 20


@pytest.mark.parametrize("memory", [16, 64, 79])
def test_a_request_of_the_largest_size_fits_on_any_instance(memory):
    settings = gateway_settings.check({**VALUES, "memory": memory}, "x").ok
    assert settings.held_limit > 5 << 20


@pytest.mark.parametrize("memory", [0, -1, 15, 1e7, "128", None, True])
def test_a_memory_that_no_instance_has_is_an_error(memory):
    [message] = errors(memory=memory)
    assert message.startswith("router.json5: memory: must ")
