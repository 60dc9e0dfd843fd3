import os
import pwd

import pytest

from trefoilpitch.cli._flags import FLAGS
from trefoilpitch.cli._settings import read_settings

_ALL = tuple(flag.name for flag in FLAGS)


@pytest.mark.parametrize(
    ("text", "urls"),
    [
        ("127.0.0.1:8081", ("http://127.0.0.1:8081",)),
        ("[::1]:8081", ("http://[::1]:8081",)),
        ("entry-1:8081", ("http://entry-1:8081",)),
        ("https://entry-1.example:443/", ("https://entry-1.example:443",)),
        (" a:1 , b:2,", ("http://a:1", "http://b:2")),
    ],
)
def test_common_forms_of_addresses_are_accepted(
    text: str, urls: tuple[str, ...]
) -> None:
    settings = read_settings({"admin_address": text}, {}, _ALL)
    assert settings.admin_urls == urls


_ACCOUNT = pwd.getpwuid(os.getuid()).pw_name


@pytest.mark.parametrize(
    ("given", "environment", "author"),
    [
        ({"author": "mere"}, {"USER": "josefa"}, "mere"),
        ({"author": ""}, {"USER": "josefa"}, ""),
        ({}, {"TREFOILPITCH_AUTHOR": "litia", "USER": "josefa"}, "litia"),
        ({}, {"USER": "josefa"}, "josefa"),
        ({}, {}, _ACCOUNT),
    ],
)
def test_the_author_defaults_to_the_current_user(
    given: dict[str, str], environment: dict[str, str], author: str
) -> None:
    assert read_settings(given, environment, _ALL).author == author
