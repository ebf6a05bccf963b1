"""Generates typed Python modules from the Cap'n Proto schemas.

A schema file with the ``settings`` annotation becomes pydantic models with
validation; every other schema becomes data classes with slots, ``encode`` and
``decode``. The generated modules are committed, so neither the build nor an
installation needs this script.
"""

import argparse
import pathlib
import subprocess
import sys

from schema_model import (
    SCHEMA_DIR,
    Schema,
    default_source,
    dependency_order,
    docstring_lines,
    quote,
    read_annotations,
    snake_case,
)


def message_class_lines(schema, name):
    """Returns the source lines of one data class with its codec."""
    node = schema.nodes_by_name[name]
    lines = ["@dataclasses.dataclass(slots=True)", f"class {name}:"]
    lines += [*docstring_lines(node), ""]
    for field in node.struct.fields:
        kind = field.slot.type.which()
        type_name = schema.type_name(field.slot.type)
        if kind == "list":
            default = "()"
        elif kind == "struct":
            default = f"dataclasses.field(default_factory={type_name})"
        else:
            default = default_source(field)
        lines.append(f"    {snake_case(field.name)}: {type_name} = {default}")
    lines += ["", "    def fill(self, builder: Any) -> None:"]
    lines += ['        """Copies the fields into a message builder."""']
    for field in node.struct.fields:
        lines += fill_statement_lines(field)
    lines += [
        "",
        "    def encode(self) -> bytes:",
        '        """Returns the message as bytes."""',
        f"        builder = _schema.{name}.new_message()",
        "        self.fill(builder)",
        "        return builder.to_bytes()",
        "",
        "    @classmethod",
        f'    def read(cls, reader: Any) -> "{name}":',
        '        """Copies the fields out of a message reader."""',
        "        return cls(",
    ]
    lines += [
        f"            {read_expression_source(schema, field)},"
        for field in node.struct.fields
    ]
    lines += [
        "        )",
        "",
        "    @classmethod",
        f'    def decode(cls, data: bytes) -> "{name}":',
        '        """Reads a message.',
        "",
        "        Raises:",
        "            MessageError: The bytes are not such a message.",
        '        """',
        "        try:",
        f"            with _schema.{name}.from_bytes(",
        "                data, traversal_limit_in_words=read_limit(data)",
        "            ) as reader:",
        "                return cls.read(reader)",
        "        except (capnp.KjException, ValueError) as error:",
        f'            message = "malformed {name} message"',
        "            raise MessageError(message) from error",
        "",
        "",
    ]
    return lines


def fill_statement_lines(field):
    """Returns the source lines that copy one field into a builder."""
    attribute = f"self.{snake_case(field.name)}"
    kind = field.slot.type.which()
    if kind == "struct":
        return [f"        {attribute}.fill(builder.{field.name})"]
    if kind != "list":
        return [f"        builder.{field.name} = {attribute}"]
    lines = [
        f"        if {attribute}:",
        f'            items = builder.init("{field.name}", len({attribute}))',
    ]
    if field.slot.type.list.elementType.which() == "struct":
        return [
            *lines,
            f"            for index, item in enumerate({attribute}):",
            "                item.fill(items[index])",
        ]
    return [
        *lines,
        f"            for index, item in enumerate({attribute}):",
        "                items[index] = item",
    ]


def read_expression_source(schema, field):
    """Returns the source of the expression that reads one field."""
    kind = field.slot.type.which()
    source = f"reader.{field.name}"
    if kind == "struct":
        return f"{schema.type_name(field.slot.type)}.read({source})"
    if kind == "data":
        return f"bytes({source})"
    if kind != "list":
        return source
    element = field.slot.type.list.elementType
    if element.which() == "struct":
        name = schema.names_by_id[element.struct.typeId]
        return f"tuple([{name}.read(item) for item in {source}])"
    if element.which() == "data":
        return f"tuple([bytes(item) for item in {source}])"
    return f"tuple({source})"


def message_module_source(schema):
    """Returns the source of a message module."""
    lines = [
        f'"""Messages generated from {schema.path.name}; do not edit."""',
        "",
        "import dataclasses",
        "import pathlib",
        "from typing import Any",
        "",
        "import capnp",
        "",
        "from celeryfield.internal.schema.base import MessageError, read_limit",
        "",
        "_DIRECTORY = pathlib.Path(__file__).parent",
        f'_PATH = _DIRECTORY / "{schema.path.name}"',
        "_schema = capnp.load(str(_PATH), imports=[str(_DIRECTORY)])",
        "",
        "",
    ]
    for name in dependency_order(schema):
        lines += message_class_lines(schema, name)
    return "\n".join(lines)


def settings_module_source(schema):
    """Returns the source of a settings module."""
    lines = [
        f'"""Settings generated from {schema.path.name}; do not edit."""',
        "",
        "from pydantic import Field",
        "",
        "from celeryfield.internal.schema.base import SettingsModel",
        "",
        "",
    ]
    for name in dependency_order(schema):
        node = schema.nodes_by_name[name]
        summary = read_annotations(node).get("doc", "Settings.")
        lines += [
            f"class {name}(SettingsModel):",
            f'    """{summary}"""',
            "",
        ]
        for field in node.struct.fields:
            lines.append(settings_field_source(schema, field))
        lines += ["", ""]
    return "\n".join(lines)


def settings_field_source(schema, field):
    """Returns the source of the declaration of one settings field."""
    annotations = read_annotations(field)
    type_name = schema.type_name(field.slot.type)
    arguments = []
    kind = field.slot.type.which()
    if kind == "list":
        arguments.append("default=()")
    elif kind == "struct" and "required" not in annotations:
        arguments.append(f"default_factory={type_name}")
    elif "required" not in annotations:
        arguments.append(f"default={default_source(field)}")
    for key, argument in (("minimum", "ge"), ("maximum", "le")):
        if key in annotations:
            bound = annotations[key]
            text = repr(int(bound)) if bound == int(bound) else repr(bound)
            arguments.append(f"{argument}={text}")
    description = annotations.get("doc", "")
    if "unit" in annotations:
        description = f"{description} Unit: {annotations['unit']}.".strip()
    if description:
        arguments.append(f"description={quote(description)}")
    joined = ", ".join(arguments)
    return f"    {snake_case(field.name)}: {type_name} = Field({joined})"


def generate_module(path):
    """Returns the formatted module source for one schema file."""
    schema = Schema(path)
    source = (
        settings_module_source(schema)
        if schema.is_settings
        else message_module_source(schema)
    )
    return subprocess.run(
        [
            str(pathlib.Path(sys.executable).parent / "ruff"),
            "format",
            "--stdin-filename",
            str(path.with_suffix(".py")),
            "-",
        ],
        input=source,
        capture_output=True,
        text=True,
        check=True,
    ).stdout


def main():
    """Writes the modules, or with ``--check`` exits if one is stale."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    stale = []
    for path in sorted(SCHEMA_DIR.glob("*.capnp")):
        if path.name == "annotations.capnp":
            continue
        target = path.with_suffix(".py")
        source = generate_module(path)
        if target.exists() and target.read_text() == source:
            continue
        stale.append(target.name)
        if not arguments.check:
            target.write_text(source)
    if arguments.check and stale:
        sys.exit(
            f"stale generated modules: {', '.join(stale)}; run make schema"
        )


if __name__ == "__main__":
    main()
