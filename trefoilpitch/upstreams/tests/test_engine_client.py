from trefoilpitch.upstreams import collect
from trefoilpitch.upstreams.tests.harness import completion, engine_bench


def test_a_whole_answer_arrives_in_order() -> None:
    with engine_bench() as bench:
        with bench.client.start(completion()).unwrap() as stream:
            chunks, finish = collect(stream)
        assert [chunk.index for chunk in chunks] == list(range(len(chunks)))
        assert sum(chunk.tokens for chunk in chunks) == finish.output_tokens
        assert bench.engine.run_counts() == {"r1": 1}
