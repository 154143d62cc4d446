"""Reads a file and says every mistake in it at once: the path to the key, what was expected, a near name."""

from __future__ import annotations

import difflib
import tomllib
import types
from typing import Any, TypeVar, Union, get_args, get_origin

from pydantic import BaseModel, ValidationError

Model = TypeVar("Model", bound=BaseModel)
MOST_BYTES = 4 * 2**20


class FileError(ValueError):
    """A file that cannot be used; one line a mistake."""

    def __init__(self, path: str, mistakes: list[str]) -> None:
        super().__init__("\n".join(f"{path}: {line}" for line in mistakes))
        self.mistakes = mistakes

    def __str__(self) -> str:
        return str(self.args[0])


def read(path: str, model: type[Model], version: int) -> Model:
    try:
        with open(path, "rb") as file:
            text = file.read(MOST_BYTES + 1)
    except OSError as bad:
        raise FileError(path, [bad.strerror or str(bad)]) from bad
    if len(text) > MOST_BYTES:
        raise FileError(path, [f"longer than {MOST_BYTES} bytes"])
    try:
        told = tomllib.loads(text.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as bad:
        raise FileError(path, [f"not TOML: {bad}"]) from bad
    if not told:
        raise FileError(path, ["empty"])
    found = told.get("version")
    if found != version or isinstance(found, bool):
        raise FileError(path, [f"version: expected {version}, found {found!r}"])
    try:
        return model.model_validate(told)
    except ValidationError as bad:
        raise FileError(path, mistakes(bad, model)) from bad


def mistakes(bad: ValidationError, model: type[BaseModel]) -> list[str]:
    lines = []
    for error in bad.errors(include_url=False):
        place, kind, found = error["loc"], error["type"], error["input"]
        where = path_of(place)
        if kind == "extra_forbidden":
            names = keys_at(model, place[:-1])
            near = difflib.get_close_matches(str(place[-1]), names, 1, 0.5)
            lines.append(
                f"{where}: no such key"
                + (f"; did you mean {near[0]!r}?" if near else f"; expected one of {', '.join(names)}")
            )
        elif kind == "missing":
            lines.append(f"{where}: missing")
        elif kind == "value_error":
            lines.append(f"{where}: {error['ctx']['error']}" if where else str(error["ctx"]["error"]))
        else:
            lines.append(f"{where}: {expected(error)}, found {found!r:.60}")
    return lines


def expected(error: Any) -> str:
    text: str = error["msg"]
    return text.replace("Input should be", "expected").replace("String should match pattern", "expected")


def path_of(place: tuple[int | str, ...]) -> str:
    text = ""
    for part in place:
        text += f"[{part + 1}]" if isinstance(part, int) else f".{part}" if text else part
    return text


def keys_at(model: Any, place: tuple[int | str, ...]) -> list[str]:
    """The keys that the table at this place has."""
    for part in place:
        if isinstance(part, str) and isinstance(model, type) and issubclass(model, BaseModel):
            model = model.model_fields[part].annotation
        model = inner(model)
    return list(model.model_fields) if isinstance(model, type) and issubclass(model, BaseModel) else []


def inner(kind: Any) -> Any:
    """The table within a list of tables, or one that may be left out."""
    while (origin := get_origin(kind)) is not None:
        if origin not in (tuple, list, Union, types.UnionType):
            return origin
        kind = next(a for a in get_args(kind) if a is not type(None))
    return kind
