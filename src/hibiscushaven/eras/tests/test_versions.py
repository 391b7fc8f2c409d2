"""Order of versions across the eras of the store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.eras import MAX_ERA, MAX_NUMBER, era_of, number_of, version_of

eras = st.integers(0, MAX_ERA)
numbers = st.integers(0, MAX_NUMBER)


@given(eras, numbers, eras, numbers)
def test_versions_are_ordered_by_era_and_number(era, number, other_era, other_number):
    """Guards against a number that was given out again and passes for an older or a known one."""
    first, second = version_of(era, number), version_of(other_era, other_number)
    assert (first < second) == ((era, number) < (other_era, other_number))
    assert (era_of(first), number_of(first)) == (era, number)


@pytest.mark.parametrize(
    ("era", "number"), [(-1, 1), (MAX_ERA + 1, 1), (1, -1), (1, MAX_NUMBER + 1)]
)
def test_version_out_of_range_is_rejected(era, number):
    """Guards against a version that no message between VMs can hold."""
    with pytest.raises(ValueError, match="is not from 0 to"):
        version_of(era, number)
