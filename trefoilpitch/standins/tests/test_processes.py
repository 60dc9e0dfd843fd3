import subprocess
import sys
import urllib.request

import msgspec
import pytest


@pytest.mark.parametrize(
    ("module", "arguments", "key"),
    [
        ("engine", ["--versions=small@1", "--quality=small@1=0.8"], "runs"),
        ("service", ["--call_ms=1"], "effects"),
        ("rating", ["--delay_ms=5", "--lost_share=0.5"], "tickets"),
    ],
)
def test_each_stand_in_runs_as_a_process(
    module: str, arguments: list[str], key: str
) -> None:
    command = [sys.executable, "-m", f"trefoilpitch.standins.{module}"]
    with subprocess.Popen(
        [*command, "--port=0", *arguments], stdout=subprocess.PIPE, text=True
    ) as process:
        try:
            assert process.stdout is not None
            address = process.stdout.readline().strip()
            url = f"http://{address}/standin/counts"
            with urllib.request.urlopen(url) as response:
                assert key in msgspec.json.decode(response.read())
        finally:
            process.terminate()
