"""Sections of INI files."""

from hibiscushaven.ini import Field, integer, read_sections

LAYOUT = {"vm": (Field("port", integer(1, 9)),)}


def test_no_section_holds_defaults_for_others():
    """Guards against a section, such as one titled with a NUL, whose keys count everywhere."""
    for title in ("\0", "DEFAULT", "default"):
        sections, problems = read_sections(f"[{title}]\nport = 1\n[vm]\n", LAYOUT)
        assert [item.values["port"] for item in sections] == [None]
        assert {item.section for item in problems} == {title, "vm"}


def test_integers_have_only_digits():
    """Guards against numbers that int() reads and other readers of the file do not."""
    for value in ("1_0", "+1", "²", "1" * 5000):
        _, problems = read_sections(f"[vm]\nport = {value}", LAYOUT)
        assert len(problems) == 1, value
