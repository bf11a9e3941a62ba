"""Positions in the feed against a table that loses its newest rows and gives versions out again."""

from hypothesis import given
from hypothesis import strategies as st

from pollenbay.feedposition import FeedPosition
from pollenbay.ids import RowVersion, TableGeneration

#: True writes a row, a number restores the copy that many writes old.
HISTORIES = st.lists(st.one_of(st.just(True), st.integers(0, 5)), max_size=30)


def position(generation: int | None, version: int) -> FeedPosition:
    return FeedPosition(
        None if generation is None else TableGeneration(generation), RowVersion(version)
    )


@given(history=HISTORIES)
def test_position_continues_only_where_no_row_was_replaced(
    history: list[bool | int],
) -> None:
    rows: list[int] = []
    generation = 1
    seen = [(position(generation, 0), [])]
    for number, step in enumerate(history):
        if step is True:
            rows = [*rows, number]
        else:
            rows = rows[: max(len(rows) - step, 0)]
            generation += 1
        seen.append((position(generation, len(rows)), rows))
    for index, (earlier, known) in enumerate(seen):
        for later, current in seen[index:]:
            if later.continues(earlier):
                assert current[: len(known)] == known


def test_position_of_a_table_without_generations_must_not_go_back() -> None:
    assert position(None, 7).continues(position(None, 7))
    assert not position(None, 6).continues(position(None, 7))
    assert not position(1, 9).continues(position(None, 7))
