"""Reads INI files into settings models and reports every problem found."""

import configparser
import dataclasses
import difflib
import functools
import ipaddress
import math
import pathlib
import re
import urllib.parse
from collections.abc import Collection, Iterable, Mapping
from typing import TypeVar

import pydantic
from expression import Error, Ok, Result

from celeryfield.internal.schema.settings import NodeSettings

# Without a limit, a file in another format would yield a problem per line.
MAX_SYNTAX_PROBLEMS = 100
# configparser merges its default section into all others. No file can contain
# this name, so [DEFAULT] is treated like any other unknown section.
_UNUSED_DEFAULT_SECTION = "\n"
_CHOICES_BY_KEY = {
    ("routing", "policy"): ("adaptive", "baseline"),
    ("log", "level"): ("debug", "info", "warning", "error"),
}
_ADDRESS_KEYS = (("node", "address"), ("listen", "admin_address"))
_NAME_KEYS = (("node", "id"), ("node", "zone"), ("node", "region"))
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
_STORE_URL_KEY = ("store", "url")
_PORT_KEYS = (
    ("listen", "caller_port"),
    ("listen", "peer_port"),
    ("listen", "admin_port"),
)
MAX_PORT = 65535

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One reason why a file cannot be used.

    Attributes:
        file: Name of the file.
        section: Section, or an empty string for the whole file.
        key: Key, or an empty string for the whole section.
        reason: What is wrong and how to correct it.
    """

    file: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        where = [self.file]
        if self.section:
            where.append(f"[{self.section}]")
        if self.key:
            where.append(self.key)
        return f"{', '.join(where)}: {self.reason}"


@dataclasses.dataclass(slots=True)
class ParsedFile:
    """Result of parsing one file.

    Attributes:
        values_by_section: Values by section and key.
        problems: Syntax problems.
    """

    values_by_section: dict[str, dict[str, str]]
    problems: list[Problem]


def suggest_name(name: str, known_names: Iterable[str]) -> str:
    """Returns a hint with the most similar known name, or with all names."""
    names = sorted(known_names)
    matches = difflib.get_close_matches(name, names, n=1)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return (
        f"known names: {', '.join(names)}"
        if names
        else "there are no known names"
    )


def read_text(path: pathlib.Path) -> Result[str, list[Problem]]:
    """Reads a UTF-8 text file.

    Returns:
        The text, or the problem that prevents reading.
    """
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except OSError as error:
        reason = f"cannot be read: {error.strerror}"
    except UnicodeDecodeError as error:
        reason = f"is not UTF-8 text at byte {error.start}; save it as UTF-8"
    return Error([Problem(path.name, "", "", reason)])


def parse_sections(file: str, text: str) -> ParsedFile:
    """Parses INI text and continues after each faulty line.

    configparser stops at the first fault, so each faulty line is replaced and
    the text is parsed again until no fault remains.
    """
    lines = text.splitlines()
    problems: list[Problem] = []
    repeated_sections: set[str] = set()
    while len(problems) < MAX_SYNTAX_PROBLEMS:
        parser = configparser.ConfigParser(
            interpolation=None,
            delimiters=("=",),
            default_section=_UNUSED_DEFAULT_SECTION,
        )
        try:
            parser.read_string("\n".join(lines), source=file)
        except configparser.DuplicateSectionError as error:
            # The keys below the repeated header must not be merged into the
            # first section, so they are put into a placeholder section.
            placeholder = f"{error.section}\t{error.lineno}"
            repeated_sections.add(placeholder)
            lines[error.lineno - 1] = f"[{placeholder}]"
            reason = f"line {error.lineno} repeats the section; merge the two"
            problems.append(Problem(file, error.section, "", reason))
        except configparser.DuplicateOptionError as error:
            lines[error.lineno - 1] = "#"
            section = error.section.split("\t")[0]
            reason = f"line {error.lineno} repeats the key; keep one of them"
            problems.append(Problem(file, section, error.option, reason))
        except configparser.MissingSectionHeaderError as error:
            lines[error.lineno - 1] = "#"
            reason = f"line {error.lineno} is before the first [section]"
            problems.append(Problem(file, "", "", reason))
        except configparser.ParsingError as error:
            for line_number, _ in error.errors:
                lines[line_number - 1] = "#"
                reason = f"line {line_number} is not 'key = value'"
                problems.append(Problem(file, "", "", reason))
        else:
            values_by_section = {
                section: dict(parser[section])
                for section in parser.sections()
                if section not in repeated_sections
            }
            return ParsedFile(values_by_section, problems)
    return ParsedFile({}, problems)


def validate_section(
    model: type[ModelT],
    file: str,
    section: str,
    values_by_key: Mapping[str, str],
    allow_unknown: bool = False,
) -> Result[ModelT, list[Problem]]:
    """Validates the keys of one section.

    Args:
        model: Settings model of the section.
        file: Name of the file, for problems.
        section: Name of the section, for problems.
        values_by_key: Values as text.
        allow_unknown: Ignore keys that the model does not have.

    Returns:
        The validated model, or all problems of the section.
    """
    known_keys = model.model_fields
    problems = []
    if not allow_unknown:
        problems = [
            Problem(
                file,
                section,
                key,
                f"unknown key; {suggest_name(key, known_keys)}",
            )
            for key in values_by_key
            if key not in known_keys
        ]
    known_values = {
        key: value for key, value in values_by_key.items() if key in known_keys
    }
    try:
        checked = _with_value_checks(model).model_validate(
            known_values, context={"section": section}
        )
    except pydantic.ValidationError as error:
        for detail in error.errors():
            key = str(detail["loc"][0]) if detail["loc"] else ""
            reason = _validation_reason(detail, known_values.get(key))
            problems.append(Problem(file, section, key, reason))
        return Error(problems)
    if problems:
        return Error(problems)
    return Ok(model.model_construct(checked.model_fields_set, **dict(checked)))


@functools.cache
def _with_value_checks(model: type[ModelT]) -> type[ModelT]:
    """Returns a model with ``_check_value`` as a validator of every field.

    As field validators, the checks report their problems even if another key
    of the section is invalid.
    """
    validator = pydantic.field_validator("*", mode="after")(_check_value)
    return pydantic.create_model(
        f"Checked{model.__name__}",
        __base__=model,
        __validators__={"check_value": validator},
    )


def _validation_reason(detail: Mapping, value: str | None) -> str:
    """Formats a validation error as the reason of a problem."""
    if detail["type"] == "missing":
        return "required but missing; add it"
    message = detail["msg"].removeprefix("Value error, ")
    message = message[:1].lower() + message[1:]
    return f"{value!r} is not accepted: {message}"


def load_node_settings(
    path: pathlib.Path | str,
) -> Result[NodeSettings, list[Problem]]:
    """Reads and validates the settings file of a node."""
    path = pathlib.Path(path)
    match read_text(path):
        case Result(tag="ok", ok=text):
            return parse_node_settings(path.name, text)
        case Result(error=problems):
            return Error(problems)


def parse_node_settings(
    file: str, text: str
) -> Result[NodeSettings, list[Problem]]:
    """Validates the text of a node's settings file."""
    sections = parse_sections(file, text)
    fields = NodeSettings.model_fields
    problems = list(sections.problems)
    problems += _unknown_sections(file, sections.values_by_section, fields)
    settings_by_section = {}
    for section, field in fields.items():
        values = sections.values_by_section.get(section)
        if values is None and not field.is_required():
            continue
        if values is None:
            reason = "required section is missing; add it"
            problems.append(Problem(file, section, "", reason))
            continue
        match validate_section(field.annotation, file, section, values):
            case Result(tag="ok", ok=settings):
                settings_by_section[section] = settings
            case Result(error=section_problems):
                problems += section_problems
    if problems:
        return Error(problems)
    return Ok(NodeSettings(**settings_by_section))


def _unknown_sections(
    file: str, sections: Iterable[str], known_names: Collection[str]
) -> list[Problem]:
    """Reports sections that the settings do not have."""
    return [
        Problem(
            file,
            name,
            "",
            f"unknown section; {suggest_name(name, known_names)}",
        )
        for name in sections
        if name not in known_names
    ]


def _check_value(value: object, info: pydantic.ValidationInfo) -> object:
    """Checks constraints that the schema cannot express.

    Raises:
        ValueError: The value is not one of the choices, a finite number, an IP
            address, a name, a URL or a port, as its key requires.
    """
    section_key = (info.context["section"], info.field_name)
    reason = ""
    choices = _CHOICES_BY_KEY.get(section_key)
    if choices and value not in choices:
        reason = f"use one of {', '.join(choices)}"
    elif isinstance(value, float) and not math.isfinite(value):
        reason = "not a finite number"
    elif section_key in _ADDRESS_KEYS and not _is_address(value):
        reason = "not an IP address"
    elif section_key in _NAME_KEYS and not _NAME.fullmatch(value):
        reason = "use 1 to 64 letters, digits, dots, hyphens and underscores"
    elif section_key == _STORE_URL_KEY and not _is_http_url(value):
        reason = "use http://HOST:PORT or https://HOST:PORT"
    elif section_key in _PORT_KEYS and not 0 <= value <= MAX_PORT:
        reason = f"not a port; use 0 to {MAX_PORT}"
    if reason:
        raise ValueError(reason)
    return value


def _is_address(text: str) -> bool:
    """Returns whether a text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_http_url(text: str) -> bool:
    """Returns whether a text is an HTTP base URL or empty."""
    if not text:
        return True
    try:
        parts = urllib.parse.urlsplit(text)
        has_host = bool(parts.hostname) and parts.port != 0
        return has_host and parts.scheme in ("http", "https")
    except ValueError:
        return False
