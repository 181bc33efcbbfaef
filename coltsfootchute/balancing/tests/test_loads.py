"""Guards against a response that fails because of a malformed load report."""

import hypothesis
import pytest
from hypothesis import strategies as st

from coltsfootchute.balancing import loads


@hypothesis.given(
    st.one_of(
        st.text(),
        st.text().map("TEXT {}".format),
        st.text().map("JSON {}".format),
        st.sampled_from(["JSON " + "[" * 2000, "TEXT cpu_utilization=nan"]),
    )
)
def test_a_malformed_header_raises_no_error(header):
    report = loads.parse(header)
    assert report is None or report.requests(4) >= 0


@pytest.mark.parametrize(
    ("header", "requests"),
    [
        ("TEXT cpu_utilization=0.5", 2.0),
        ("TEXT cpu_utilization=0.9,application_utilization=0.25", 1.0),
        ("TEXT named_metrics.in_flight=3, cpu_utilization=0.1", 3.0),
        ('JSON {"cpu_utilization": 1.5}', 6.0),
    ],
)
def test_load_in_requests(header, requests):
    assert loads.parse(header).requests(4) == requests
