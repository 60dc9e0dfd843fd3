from trefoilpitch.daemon._client_stats import ClientStatsCollector
from trefoilpitch.metrics import Metrics
from trefoilpitch.retries import Execution
from trefoilpitch.upstreams import ClientStats, FailureCount

_STATS = ClientStats(
    upstream="engine-a",
    connections_in_use=3,
    connections_idle=2,
    connections_opened=7,
    successes=11,
    failures=(
        FailureCount(kind="RefusedError", execution=Execution.NOT_RUN, count=5),
    ),
)


def test_each_upstream_has_a_set_of_series() -> None:
    metrics = Metrics()
    metrics.include(ClientStatsCollector(lambda: (_STATS,)))
    rendered = metrics.render().decode()
    for expected in (
        'connections{state="in_use",upstream="engine-a"} 3.0',
        'connections{state="idle",upstream="engine-a"} 2.0',
        'connections_opened_total{upstream="engine-a"} 7.0',
        'requests_total{execution="ran",result="success",'
        'upstream="engine-a"} 11.0',
        'requests_total{execution="not_run",result="RefusedError",'
        'upstream="engine-a"} 5.0',
    ):
        assert f"trefoilpitch_upstream_{expected}" in rendered
