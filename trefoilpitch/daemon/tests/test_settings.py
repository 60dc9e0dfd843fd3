import pytest

from trefoilpitch.daemon._exceptions import SettingsError
from trefoilpitch.daemon._settings import Settings, read_settings

_ENVIRONMENT = {
    "TREFOILPITCH_VM_NAME": "entry-1",
    "TREFOILPITCH_FAILURE_DOMAIN": "suva",
    "TREFOILPITCH_SHARED_KEY": "0123456789abcdef",
    "TREFOILPITCH_ADMIN_TOKEN_SHA256": "0" * 64,
}


def _read(*flags: str, **environment: str) -> Settings:
    return read_settings(
        ["trefoilpitchd", *flags], {**_ENVIRONMENT, **environment}
    )


def test_flag_overrides_environment_and_default() -> None:
    settings = _read("--vm_name=entry-2", TREFOILPITCH_MAX_REQUESTS="7")
    assert settings.vm_name == "entry-2"
    assert settings.max_requests == 7
    assert str(settings.store_address) == "127.0.0.1:2379"


def test_all_errors_are_listed_together() -> None:
    with pytest.raises(SettingsError) as caught:
        read_settings(["trefoilpitchd", "--peer_address=entry-1:80"], {})
    text = str(caught.value)
    for expected in (
        "--vm_name (TREFOILPITCH_VM_NAME): is required",
        "--shared_key",
        "--admin_token_sha256",
        "names are not resolved",
    ):
        assert expected in text


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["--vm_nam=entry-1"], "--vm_nam; did you mean --vm_name?"),
        (["--no_such_flag"], "unknown flag --no_such_flag"),
        (["suva"], "unexpected argument 'suva'"),
        (["--seeds"], "Missing value for flag --seeds"),
    ],
)
def test_command_line_error_hides_no_other_error(
    arguments: list[str], expected: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        _read("--caller_address=entry", "--max_requests=many", *arguments)
    errors = caught.value.errors
    assert len(errors) == 3
    assert any(expected in one for one in errors)


@pytest.mark.parametrize(
    "flag",
    [
        "--caller_address=127.0.0.1",
        "--caller_address=127.0.0.1:99999",
        "--max_requests=many",
        "--rating_share=2",
        "--relays_per_domain=0",
        "--max_delta_bytes=-1",
        "--order_candidates=17",
        "--max_loads=0",
        "--load_interval_ms=99",
        "--log_format=xml",
        "--shared_key=short",
        "--no_such_flag=1",
    ],
)
def test_unusable_settings_are_refused(flag: str) -> None:
    with pytest.raises(SettingsError):
        _read(flag)
