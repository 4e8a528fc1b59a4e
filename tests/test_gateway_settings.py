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
