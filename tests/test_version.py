"""The installed package."""

import hibiscushaven


def test_package_reports_its_version():
    """Guards against a package version other than the expected one."""
    assert hibiscushaven.__version__ == "0.1.0"
