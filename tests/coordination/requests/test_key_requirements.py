"""Which requests are let in, by whether a configuration declares organisations."""

from __future__ import annotations

import json

import pytest

from carawayfold.coordination.requests.classification import classify
from carawayfold.errors import ErrorKind, Refusal
from carawayfold.platform import records
from carawayfold.platform.headers import PlatformDialect
from carawayfold.state.routes import ANONYMOUS, RouteIndex
from tests.platform.record_builders import configuration

KEY = "key-of-alder"
FORGED = "key-of-nobody"


def admitted(table, key, target=b"/r/1"):
    """Return the organisation of a request, or the kind of its refusal."""
    fields = [(b"host", b"caller.example")]
    if key is not None:
        fields.append((b"x-api-key", key.encode()))
    parsed = PlatformDialect().read_request(fields)
    try:
        return classify(parsed, target, RouteIndex(table), {}).organisation
    except Refusal as refusal:
        return refusal.kind


def decoded(**fields):
    return records.decode_routes(json.dumps(configuration(**fields)).encode())


def without_tenants():
    fields = configuration()
    del fields["tenants"]
    return records.decode_routes(json.dumps(fields).encode())


#: Organisations of which no one can hold a valid key.
WITHOUT_KEYS = [
    [],
    [{"name": "alder", "api_keys": []}],
    [{"name": "alder"}],
    [{"name": "alder", "api_keys": []}, {"name": "birch", "api_keys": []}],
    [{"name": "alder", "api_keys": [""]}],
]


# Guards against requests that run with any key once the last key is revoked.
@pytest.mark.parametrize("tenants", WITHOUT_KEYS)
@pytest.mark.parametrize("key", [KEY, FORGED, "", None])
def test_no_key_is_valid_once_all_keys_are_revoked(tenants, key):
    assert admitted(decoded(tenants=tenants), key) is ErrorKind.UNKNOWN_KEY


# Guards against a door that stays shut where no organisation was ever declared.
@pytest.mark.parametrize("key", [KEY, FORGED, "", None])
def test_no_key_is_needed_without_declared_organisations(key):
    assert admitted(without_tenants(), key) == ANONYMOUS


# Guards against anonymous routes that are shut together with those that need a key.
@pytest.mark.parametrize("tenants", WITHOUT_KEYS)
def test_anonymous_routes_stay_open_once_all_keys_are_revoked(tenants):
    table = decoded(tenants=tenants, anonymous=True)
    assert admitted(table, FORGED) == ANONYMOUS


# Guards against a key that stays refused after it was given back.
def test_a_key_that_is_given_back_is_valid_again():
    table = decoded(tenants=[{"name": "alder", "api_keys": [KEY]}])
    assert admitted(table, KEY) == "alder"
    assert admitted(table, FORGED) is ErrorKind.UNKNOWN_KEY
    assert admitted(table, None) is ErrorKind.UNKNOWN_KEY


# Guards against a configuration that is taken for one without organisations.
@pytest.mark.parametrize("tenants", [None, {}, "alder", [None]])
def test_tenants_that_are_no_list_make_a_configuration_invalid(tenants):
    with pytest.raises(records.SourceError):
        decoded(tenants=tenants)
