"""Reload of the settings while the gateway runs."""

import os

import pytest

from hibiscushaven.gateway.settings import parse_gateway_settings
from hibiscushaven.gateway.settings_watch import SettingsWatch

from .test_settings import VALID_SETTINGS


class WatchedFile:
    """A settings file that is watched.

    :ivar applied: settings that the watch applied.
    """

    def __init__(self, path):
        self.path = path
        self.applied = []
        self.writes = 0
        self.write(VALID_SETTINGS)
        self.watch = SettingsWatch(
            str(path), parse_gateway_settings(VALID_SETTINGS).ok, self.applied.append
        )

    def write(self, text):
        """Write the file with a modification time that differs from the previous one."""
        self.path.write_text(text)
        self.writes += 1
        os.utime(self.path, (self.writes, self.writes))


@pytest.fixture
def watched(tmp_path):
    return WatchedFile(tmp_path / "gateway.ini")


def test_changed_file_is_applied_once(watched):
    """Guards against changes that need a signal, and against repeated reloads of one change."""
    watched.watch.check()
    assert watched.applied == []
    watched.write(VALID_SETTINGS.replace("grace = 6s", "grace = 9s"))
    watched.watch.check()
    watched.watch.check()
    assert [settings.options.grace_s for settings in watched.applied] == [9.0]


def test_reload_of_unchanged_settings_applies_nothing(watched):
    """Guards against a signal, or a rewrite of the same content, that resets running options."""
    watched.watch.reload()
    watched.write(VALID_SETTINGS)
    watched.watch.check()
    assert watched.applied == []


def test_invalid_or_missing_file_keeps_the_settings(watched, caplog):
    """Guards against a reload that stops or resets the gateway after a mistake in the file."""
    watched.write("[vm]\nname = a b")
    watched.watch.check()
    watched.path.unlink()
    watched.watch.check()
    assert watched.applied == []
    assert any("'a b'" in str(record.problems) for record in caplog.records)
    watched.write(VALID_SETTINGS.replace("shift_cap = 0.15", "shift_cap = 0.3"))
    watched.watch.check()
    assert watched.applied[0].options.shift_cap == 0.3
