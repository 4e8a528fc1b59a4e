"""Digests of request contents."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carawayfold.state.contents import content_id

SMALL = st.binary(max_size=6)


def test_retry_has_the_same_content():
    first = content_id("alder", b"POST", b"/a/?b=1", b"body")
    assert first == content_id("alder", b"POST", b"/a/?b=1", b"body")


@given(
    st.tuples(st.text(max_size=4), SMALL, SMALL, SMALL),
    st.tuples(st.text(max_size=4), SMALL, SMALL, SMALL),
)
def test_any_difference_makes_another_content(one, other):
    assert (content_id(*one) == content_id(*other)) == (one == other)


def test_moving_bytes_between_fields_changes_the_content():
    assert content_id("a", b"POST", b"/x", b"") != content_id("a", b"POST", b"/", b"x")
