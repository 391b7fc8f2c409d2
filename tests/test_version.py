"""Checks of the installed package."""

import hibiscushaven


def test_package_reports_its_version():
    assert hibiscushaven.__version__ == "0.1.0"
