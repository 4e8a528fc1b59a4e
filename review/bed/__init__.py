"""Test bed of the review: routers as processes among small stand-ins."""
