"""Values that other writers and operators may put into a field."""

from hypothesis import strategies as st

ODD_NUMBERS = st.sampled_from(
    [True, False, -1, 2**16, 2**31, 2**63 - 1, 2**63, 2**64, 10**30, 1e306, -1e306, 0.5, -0.0]
)
ODD_TEXTS = st.one_of(
    st.text(max_size=40),
    st.sampled_from(["10.0.0.1", "a..b:1", "10.0.0.1:", "10.0.0.1:0", ":1", "10.0.0.1:99999"]),
)
VALUES = st.recursive(
    st.none() | ODD_NUMBERS | ODD_TEXTS | st.integers() | st.floats(allow_nan=False),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)

NUMBER_FIELDS = {
    "routes": ("timeout_s", "target_latency_s", "max_attempts", "priority"),
    "services": ("max_connections", "cold_per_s", "cold_start_s"),
    "tenants": ("rate_per_s", "burst", "priority"),
    "limits": ("max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s"),
}
"""Fields of a configuration that hold numbers, by table."""
TEXT_FIELDS = [
    ("routes", "name"),
    ("routes", "host"),
    ("routes", "prefix"),
    ("routes", "route_type"),
    ("routes", "service"),
    ("services", "name"),
    ("tenants", "name"),
]
"""Tables and fields of a configuration that hold texts."""
