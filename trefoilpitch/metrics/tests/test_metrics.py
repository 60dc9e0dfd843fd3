from trefoilpitch.metrics import Label, Metrics


def test_counters_are_separated_by_label_and_rendered() -> None:
    metrics = Metrics()
    metrics.count("requests", Label("outcome", "ran"))
    metrics.count("requests", Label("outcome", "not_run"), by=2)
    assert metrics.counters() == {
        "requests{outcome=ran}": 1,
        "requests{outcome=not_run}": 2,
    }
    rendered = metrics.render().decode()
    assert 'trefoilpitch_requests_total{outcome="not_run"} 2.0' in rendered


def test_latency_summary_has_percentiles_in_milliseconds() -> None:
    metrics = Metrics()
    for value_ms in range(1, 101):
        metrics.observe_ms("first_token", value_ms)
    summary = metrics.latencies()["first_token"]
    assert summary.count == 100
    assert 49 <= summary.p50_ms <= 51
    assert b'quantile="0.99"' in metrics.render()
