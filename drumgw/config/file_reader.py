"""Reads a configuration file and reports all errors in it at once.

Each error is one line: the path to the key, the expected value, and for an unknown key the most similar
known one. List positions in paths count from 1, as in `product[2].expiry_ms`.
"""

from __future__ import annotations

import difflib
import tomllib
import types
from typing import Any, TypeVar, Union, get_args, get_origin

from pydantic import BaseModel, ValidationError

Model = TypeVar("Model", bound=BaseModel)
KeyPath = tuple[int | str, ...]

MAX_FILE_BYTES = 4 * 2**20
MIN_KEY_SIMILARITY = 0.5  # difflib ratio; less similar keys are not suggested for an unknown one


class FileError(ValueError):
    """A file that cannot be used; the text has one line for each error, with the file's path.

    Attributes:
        messages: the errors without the file's path.
    """

    def __init__(self, path: str, messages: list[str]) -> None:
        super().__init__("\n".join(f"{path}: {line}" for line in messages))
        self.messages = messages


def read_file(path: str, model: type[Model], version: int) -> Model:
    """Reads a TOML file into a model.

    Args:
        path: the file's path.
        model: the model whose fields are the file's keys.
        version: the required value of the key `version`.

    Raises:
        FileError: the file cannot be read, has another version, or is invalid.
    """
    document = _parse_toml(path, _read_bytes(path))
    if not document:
        raise FileError(path, ["empty"])
    found = document.get("version")
    if found != version or isinstance(found, bool):
        raise FileError(path, [f"version: expected {version}, found {found!r}"])
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise FileError(path, _format_errors(error, model)) from error


def _read_bytes(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise FileError(path, [error.strerror or str(error)]) from error
    if len(content) > MAX_FILE_BYTES:
        raise FileError(path, [f"longer than {MAX_FILE_BYTES} bytes"])
    return content


def _parse_toml(path: str, content: bytes) -> dict[str, Any]:
    try:
        return tomllib.loads(content.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise FileError(path, [f"not TOML: {error}"]) from error


def _format_errors(error: ValidationError, model: type[BaseModel]) -> list[str]:
    return [_format_error(details, model) for details in error.errors(include_url=False)]


def _format_error(details: Any, model: type[BaseModel]) -> str:
    location: KeyPath = details["loc"]
    path = _format_path(location)
    match details["type"]:
        case "extra_forbidden":
            return f"{path}: no such key{_suggest_key(model, location)}"
        case "missing":
            return f"{path}: missing"
        case "value_error":
            reason = str(details["ctx"]["error"])
            return f"{path}: {reason}" if path else reason
    return f"{path}: {_describe_expected(details['msg'])}, found {details['input']!r:.60}"


def _suggest_key(model: type[BaseModel], location: KeyPath) -> str:
    keys = _keys_of_table(model, location[:-1])
    nearest = difflib.get_close_matches(str(location[-1]), keys, n=1, cutoff=MIN_KEY_SIMILARITY)
    if nearest:
        return f"; did you mean {nearest[0]!r}?"
    return f"; expected one of {', '.join(keys)}"


def _describe_expected(message: str) -> str:
    return message.replace("Input should be", "expected").replace("String should match pattern", "expected")


def _format_path(location: KeyPath) -> str:
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part + 1}]"
        elif path:
            path += f".{part}"
        else:
            path = part
    return path


def _keys_of_table(model: Any, location: KeyPath) -> list[str]:
    """Returns the keys that the table at a location may have; none if the location is not a table."""
    for part in location:
        if isinstance(part, str) and _is_table(model):
            model = model.model_fields[part].annotation
        model = _unwrap_annotation(model)
    return list(model.model_fields) if _is_table(model) else []


def _is_table(annotation: Any) -> bool:
    return isinstance(annotation, type) and issubclass(annotation, BaseModel)


def _unwrap_annotation(annotation: Any) -> Any:
    """Returns the item type of a list or tuple, and the type of an optional value."""
    while (origin := get_origin(annotation)) is not None:
        if origin not in (tuple, list, Union, types.UnionType):
            return origin
        annotation = next(argument for argument in get_args(annotation) if argument is not type(None))
    return annotation
