"""Error codes are unique, and the generated page lists them."""

import pathlib

from tools.make_error_table import build_page

from anvilhall.exceptions import list_errors

ROOT = pathlib.Path(__file__).parent.parent


def test_codes_are_unique():
    codes = [error.code for error in list_errors()]
    assert len(codes) == len(set(codes))


def test_page_of_errors_is_up_to_date():
    assert (ROOT / 'docs' / 'errors.md').read_text() == build_page()
