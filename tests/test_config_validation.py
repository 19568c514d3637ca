"""Validation of configuration files: all faults are reported, with file, line, key and allowed values."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from sagetrack.config.allowed_values import describe
from sagetrack.config.check import check
from sagetrack.config.errors import FileError
from sagetrack.config.key_lines import json_key_lines, key_text, nearest_line, toml_key_lines
from sagetrack.config.operator import Operator, load
from sagetrack.config.validation import decode, read
from tests.sockets import configuration


class Item(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    size: Annotated[int, msgspec.Meta(ge=1, le=9)] = 1


class Document(msgspec.Struct, forbid_unknown_fields=True):
    kind: Literal["a", "b"] = "a"
    item: list[Item] = []
    pair: tuple[float, float] = (0.0, 1.0)


def faults(path: Path, text: str, type_: type = Document) -> list[str]:
    path.write_text(text)
    with pytest.raises(FileError) as caught:
        read(path, type_)
    return [fault.removeprefix(f"{path}:") for fault in caught.value.faults]


def test_all_faults_are_reported_with_line_key_and_allowed_values(tmp_path: Path) -> None:
    text = 'kind = "c"\n\n[[item]]\nname = "x"\nsize = 12\n\n[[item]]\nnme = "y"\nname = "z"\n\n[extra]\n'
    assert faults(tmp_path / "f.toml", text) == [
        '1: kind = "c" is not allowed; it must be one of a, b',
        "5: item[1].size = 12 is not allowed; it must be a whole number from 1 to 9",
        "8: item[2].nme is unknown; allowed keys are name, size",
        "11: extra is unknown; allowed keys are kind, item, pair",
    ]


def test_a_missing_key_is_reported(tmp_path: Path) -> None:
    assert faults(tmp_path / "f.toml", "[[item]]\nsize = 2\n") == [
        "1: item[1].name is missing; it must be a string"
    ]


@pytest.mark.parametrize("text", ["kind = ", "[a\n", "x = 1\nx = 2\n"])
def test_invalid_toml_is_reported_in_one_line(tmp_path: Path, text: str) -> None:
    (fault,) = faults(tmp_path / "f.toml", text)
    assert "not valid TOML" in fault


def test_a_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(FileError, match="No such file"):
        read(tmp_path / "none.toml", Document)


def test_json_keys_have_their_line_numbers() -> None:
    lines = json_key_lines('{\n "a": [\n  {"b": 1},\n  {"b": 2}\n ],\n "c": {"d": [1,\n 2]}\n}')
    assert lines["a",] == 2 and lines["a", 1, "b"] == 4 and lines["c", "d", 1] == 7


@given(st.text(alphabet='ab.[]{}="#,: \n01', max_size=80))
@example('{""[:,')  # a colon in a list does not end a key
def test_the_line_scanners_accept_any_text(text: str) -> None:
    toml_key_lines(text)
    json_key_lines(text)


def test_the_example_operator_file_sets_nothing_and_is_valid_when_uncommented(tmp_path: Path) -> None:
    example_path = Path(__file__).parent.parent / "deploy" / "operator.toml"
    assert load(str(example_path)) == Operator()
    lines = example_path.read_text().splitlines()
    first_table = lines.index("# [log]")
    uncommented = tmp_path / "all.toml"
    uncommented.write_text("\n".join(line.removeprefix("# ") for line in lines[first_table:]))
    operator = load(str(uncommented))
    assert operator.log == Operator().log and operator.peers.use == Operator().peers.use
    assert len(operator.peers.addresses) == 2


def test_all_faults_of_a_platform_configuration_are_reported(tmp_path: Path) -> None:
    good = configuration("127.0.0.1:1")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(good))
    check(str(path), {})
    bad = configuration("127.0.0.1:1")
    bad["listen"] = "nowhere"
    bad["settings"]["lanes"][1]["effect"] = "maybe"
    bad["settings"]["lanes"][2]["giveUpUs"] = 0
    path.write_text(json.dumps(bad, indent=1))
    with pytest.raises(FileError) as caught:
        check(str(path), {})
    text = path.read_text().splitlines()
    assert len(caught.value.faults) == 3
    for fault, key in zip(caught.value.faults, ("listen", "effect", "giveUpUs"), strict=True):
        line = int(fault.removeprefix(f"{path}:").split(":")[0])
        assert f'"{key}"' in text[line - 1] and key in fault


class Numbers(msgspec.Struct):
    closed: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    open: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.5
    least: Annotated[int, msgspec.Meta(ge=1)] = 1
    above: Annotated[int, msgspec.Meta(gt=1)] = 2
    most: Annotated[int, msgspec.Meta(le=1)] = 1
    below: Annotated[int, msgspec.Meta(lt=1)] = 0
    any: int = 0


@pytest.mark.parametrize(
    ("key", "allowed"),
    [
        ("closed", "a number from 0 to 1"),
        ("open", "a number above 0 to below 1"),
        ("least", "a whole number of at least 1"),
        ("above", "a whole number above 1"),
        ("most", "a whole number of at most 1"),
        ("below", "a whole number below 1"),
        ("any", "a whole number"),
    ],
)
def test_bounds_are_described_in_words(key: str, allowed: str) -> None:
    value, reported = decode({key: "x"}, Numbers)
    assert value is None
    assert [fault.message for fault in reported] == [f'{key} = "x" is not allowed; it must be {allowed}']


def test_other_types_are_described_in_words() -> None:
    def described(type_: object) -> str:
        return describe(msgspec.inspect.type_info(type_))

    assert described(bool) == "true or false"
    assert described(Annotated[str, msgspec.Meta(min_length=1, pattern="^a$")]) == (
        "a string that is not empty that matches ^a$"
    )
    assert described(list[int]) == "a list, each a whole number"
    assert described(tuple[int, bool]) == "a list of a whole number and true or false"
    assert described(dict[str, int]) == "a table" and described(Item) == "a table with name, size"
    assert described(int | str | None) == "a whole number or a string"
    assert described(bytes) == "another value"


def test_a_key_is_formatted_for_operators_and_has_the_line_of_its_nearest_known_container() -> None:
    assert key_text(("class", 1, "aim_ms")) == "class[2].aim_ms" and key_text(()) == "the file"
    lines = toml_key_lines("[[class]]\n[[class]]\nname = 1\n")
    assert nearest_line(lines, ("class", 1, "name")) == 3
    assert nearest_line(lines, ("class", 1, "aim_ms")) == 2
    assert nearest_line(lines, ("other",)) == 1
