from __future__ import annotations

from collections import Counter

from trefoilpitch.rendezvous import rank

_NAMES = [f"node-{number}" for number in range(9)]


def test_rank_does_not_depend_on_the_order_of_names() -> None:
    assert rank("key", _NAMES) == rank("key", reversed(_NAMES))


def test_removed_name_moves_only_its_own_keys() -> None:
    keys = [f"key-{number}" for number in range(500)]
    for key in keys:
        before = rank(key, _NAMES)
        after = rank(key, [name for name in _NAMES if name != "node-3"])
        assert after == [name for name in before if name != "node-3"]


def test_keys_are_spread_over_the_names() -> None:
    firsts = Counter(rank(f"key-{n}", _NAMES)[0] for n in range(9_000))
    assert all(800 < count < 1_200 for count in firsts.values())
