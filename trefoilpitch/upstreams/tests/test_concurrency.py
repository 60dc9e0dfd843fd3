import concurrent.futures
import random

import pytest
from returns.result import Failure

from trefoilpitch.retries import Execution
from trefoilpitch.standins import EngineSettings, Fault
from trefoilpitch.standins._completions import completion_words, is_good
from trefoilpitch.upstreams import (
    Chunk,
    Timeouts,
    UpstreamError,
    collect,
)
from trefoilpitch.upstreams.tests.harness import (
    VERSION,
    EngineHarness,
    completion,
    open_engine_harness,
)

_KINDS = (
    "slow_headers",
    "refuse",
    "cut_stream",
    "drop_answer",
    "stall",
    "gap",
    "repeat",
    "missing_end",
    "malformed",
    "wrong_version",
    "error_event",
    "crossed",
    "crossed_events",
)
_REQUESTS = 120
_QUALITY = 0.5


def _run(
    harness: EngineHarness, number: int, fault: Fault | None
) -> list[Chunk] | UpstreamError:
    if fault is not None:
        # The fault may hit another thread's request instead of this one's.
        harness.engine.inject(fault)
    request = completion(f"r{number}", prompt=f"prompt {number}")
    started = harness.client.start(request)
    if isinstance(started, Failure):
        failure: UpstreamError = started.failure()
        return failure
    try:
        with started.unwrap() as stream:
            return collect(stream)[0]
    except UpstreamError as error:
        return error


def _fault(rng: random.Random) -> Fault | None:
    if rng.random() < 0.5:
        return None
    return Fault(
        kind=rng.choice(_KINDS),
        after=rng.randrange(4),
        delay_ms=5,
        not_run=rng.random() < 0.5,
    )


def _expected(number: int) -> str:
    prompt = f"prompt {number}"
    good = is_good(prompt, _QUALITY)
    words = completion_words(prompt, str(VERSION), good=good, max_tokens=1000)
    return " ".join(words)


@pytest.mark.parametrize("seed", range(3))
def test_under_faults_each_caller_gets_its_response_or_a_correct_error(
    seed: int,
) -> None:
    rng = random.Random(seed)
    settings = EngineSettings(
        warm_after=0, token_ms=0.2, capacity=4, quality={str(VERSION): _QUALITY}
    )
    timeouts = Timeouts(first_byte_ms=500, chunk_gap_ms=100)
    with (
        open_engine_harness(
            settings=settings, timeouts=timeouts, max_connections=8
        ) as harness,
        concurrent.futures.ThreadPoolExecutor(max_workers=8) as workers,
    ):
        faults = [_fault(rng) for _ in range(_REQUESTS)]
        results = list(
            workers.map(
                lambda number: _run(harness, number, faults[number]),
                range(_REQUESTS),
            )
        )
        runs = harness.engine.run_counts()
        in_use = harness.client.stats.connections_in_use
    assert in_use == 0
    assert max(runs.values()) == 1
    succeeded = 0
    for number, result in enumerate(results):
        if isinstance(result, UpstreamError):
            not_run = result.execution is Execution.NOT_RUN
            assert not (not_run and f"r{number}" in runs)
            continue
        succeeded += 1
        assert "".join(chunk.text for chunk in result) == _expected(number)
    # Both cases must occur often enough for the assertions above to check them.
    assert succeeded > _REQUESTS // 4
    assert succeeded < _REQUESTS
