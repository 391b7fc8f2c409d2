"""Tests of the parsing of INI sections."""

from hibiscushaven.ini import Field, integer, read_sections

LAYOUT = {"vm": (Field("port", integer(1, 9)),)}


def test_no_section_provides_defaults():
    """Guards against a title, such as a NUL or DEFAULT, whose keys apply to all sections."""
    for title in ("\0", "DEFAULT", "default"):
        sections, problems = read_sections(f"[{title}]\nport = 1\n[vm]\n", LAYOUT)
        assert [item.values["port"] for item in sections] == [None]
        assert {item.section for item in problems} == {title, "vm"}


def test_integers_consist_of_ascii_digits():
    """Guards against integers that int() accepts and other parsers of the file reject."""
    for value in ("1_0", "+1", "²", "1" * 5000):
        _, problems = read_sections(f"[vm]\nport = {value}", LAYOUT)
        assert len(problems) == 1, value
