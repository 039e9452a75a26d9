"""Estimating prompt sizes, and assembling responses from event streams."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.batch.chat_completion import ChatCompletionAssembler, measure_prompt
from tests.properties import reproducible, split_at
from tests.standins import EVENTS, STREAM_TAIL


def test_prompt_sizes_are_estimated_at_four_characters_per_token() -> None:
    messages = [{"role": "system", "content": "x" * 398}, {"role": "user", "content": "y" * 198}]
    prompt = measure_prompt({"messages": messages, "max_tokens": 50})
    assert (prompt.tokens, prompt.prefix_tokens, prompt.max_tokens) == (150.0, 100.0, 50.0)


@reproducible
@given(st.lists(st.integers(0)))
def test_a_response_is_assembled_wherever_the_stream_is_split(cuts: list[int]) -> None:
    assembler = ChatCompletionAssembler("m", 7)
    for part in split_at(b": note\n\n" + b"".join(EVENTS) + STREAM_TAIL, cuts):
        assembler.feed(part)
    body = assembler.body()
    assert body is not None and body["choices"] == [
        {"index": 0, "message": {"role": "assistant", "content": "one two"}, "finish_reason": "stop"}
    ]
    assert (body["object"], body["usage"]["total_tokens"]) == ("chat.completion", 11)


@pytest.mark.parametrize(
    "stream",
    [
        b"",
        EVENTS[0],  # no end
        b"data: [DONE]\n\n",  # nothing in it
        b"data: {oops\n\n" + b"".join(EVENTS) + STREAM_TAIL,
        b'data: {"error": {"message": "x"}}\n\n' + STREAM_TAIL,
        b"data: []\n\n" + STREAM_TAIL,
        b"x" * 2_000_000 + b"\n" + STREAM_TAIL,
    ],
)
def test_a_stream_without_a_complete_response_gives_none(stream: bytes) -> None:
    assembler = ChatCompletionAssembler("m", 7)
    assembler.feed(stream)
    assert assembler.body() is None
