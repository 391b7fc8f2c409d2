"""Settings that change under a running gateway."""

import os

import pytest

from hibiscushaven.gateway.settings import parse_gateway_settings
from hibiscushaven.gateway.settings_watch import SettingsWatch

from .test_settings import GOOD


class Watched:
    def __init__(self, path):
        self.path = path
        self.adopted = []
        self.writes = 0
        self.write(GOOD)
        self.watch = SettingsWatch(str(path), parse_gateway_settings(GOOD).ok, self.adopted.append)

    def write(self, text):
        """Write the file, with a time of change that differs from the one before."""
        self.path.write_text(text)
        self.writes += 1
        os.utime(self.path, (self.writes, self.writes))


@pytest.fixture
def watched(tmp_path):
    return Watched(tmp_path / "gateway.ini")


def test_change_without_a_signal_is_adopted_once(watched):
    watched.watch.look()
    assert watched.adopted == []
    watched.write(GOOD.replace("grace = 6s", "grace = 9s"))
    watched.watch.look()
    watched.watch.look()
    assert [settings.options.grace_s for settings in watched.adopted] == [9.0]


def test_signal_without_a_change_adopts_nothing(watched):
    watched.watch.read_again()
    watched.write(GOOD)
    watched.watch.look()
    assert watched.adopted == []


def test_wrong_or_missing_file_changes_nothing(watched, caplog):
    watched.write("[vm]\nname = a b")
    watched.watch.look()
    watched.path.unlink()
    watched.watch.look()
    assert watched.adopted == []
    assert any("'a b'" in str(record.problems) for record in caplog.records)
    watched.write(GOOD.replace("shift_cap = 0.15", "shift_cap = 0.3"))
    watched.watch.look()
    assert watched.adopted[0].options.shift_cap == 0.3
