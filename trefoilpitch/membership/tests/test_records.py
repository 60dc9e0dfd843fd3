import functools
import itertools

import hypothesis
import hypothesis.strategies as st
import msgspec

from trefoilpitch.membership import Endpoints, MemberRecord
from trefoilpitch.membership._records import (
    create_record,
    merge_records,
    state_of,
)

RECORD = create_record(
    name="vm0",
    incarnation="1",
    failure_domain="fd0",
    endpoints=Endpoints(
        caller_address="a:1", admin_address="a:2", peer_address="a:3"
    ),
)


def create_variant(
    incarnation: int, refutation: int, state: str, version: int
) -> MemberRecord:
    # A report's content is determined by its incarnation and version.
    report = msgspec.structs.replace(
        RECORD.report,
        incarnation_hash=incarnation,
        version=version,
        in_flight_permille=version,
    )
    return msgspec.structs.replace(
        RECORD,
        incarnation=str(incarnation),
        refutation=refutation,
        state=state,
        report=report,
    )


STATE = st.sampled_from(("alive", "suspect", "gone", "departed"))
VARIANT = st.builds(
    create_variant,
    st.integers(1, 2),
    st.integers(0, 2),
    STATE,
    st.integers(0, 3),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(records=st.lists(VARIANT, min_size=3, max_size=3))
def test_order_of_merging_is_irrelevant(records: list[MemberRecord]) -> None:
    outcomes = {
        functools.reduce(merge_records, order)
        for order in itertools.permutations(records)
    }
    assert len(outcomes) == 1


def test_unknown_state_of_a_newer_release_is_read_as_suspect() -> None:
    record = msgspec.structs.replace(RECORD, state="hibernating")
    assert state_of(record).value == "suspect"
