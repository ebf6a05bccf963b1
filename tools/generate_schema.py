"""Generates typed Python modules from the Cap'n Proto schemas.

A schema file with the ``settings`` annotation becomes validated pydantic
models; every other schema becomes slotted data classes with ``encode`` and
``decode``. The generated modules are committed, so that neither the build nor
an installation needs this script.
"""

import argparse
import pathlib
import re
import subprocess
import sys

import capnp

SCHEMA_DIR = (
    pathlib.Path(__file__).parents[1] / "src/celeryfield/internal/schema"
)
ANNOTATION_IDS = {
    0xF1D0D1B1A3B5C7E1: "doc",
    0xF1D0D1B1A3B5C7E2: "unit",
    0xF1D0D1B1A3B5C7E3: "minimum",
    0xF1D0D1B1A3B5C7E4: "maximum",
    0xF1D0D1B1A3B5C7E5: "required",
    0xF1D0D1B1A3B5C7E6: "settings",
}
SCALARS = {
    "text": "str",
    "data": "bytes",
    "bool": "bool",
    "float32": "float",
    "float64": "float",
} | {
    f"{sign}int{bits}": "int" for sign in ("", "u") for bits in (8, 16, 32, 64)
}


def snake_case(name):
    """Returns the Python name of a camel-case schema name."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def annotations_of(node):
    """Returns the annotations of a schema node by name."""
    values_by_name = {}
    for annotation in node.annotations:
        name = ANNOTATION_IDS.get(annotation.id)
        if name is None:
            continue
        kind = annotation.value.which()
        values_by_name[name] = (
            True if kind == "void" else getattr(annotation.value, kind)
        )
    return values_by_name


def default_of(field):
    """Returns the default value of a field as Python source."""
    kind = field.slot.type.which()
    if kind in ("list", "struct"):
        return None
    value = getattr(field.slot.defaultValue, kind)
    if kind == "data":
        return repr(bytes(value))
    if kind.startswith("float"):
        return repr(round(value, 9))
    return repr(value) if kind != "text" else quoted(value)


def quoted(text):
    """Returns a double-quoted Python literal."""
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


class Schema:
    """One loaded schema file with the Python names of its structs."""

    def __init__(self, path):
        self.path = path
        self.module = capnp.load(str(path), imports=[str(SCHEMA_DIR)])
        names = re.findall(r"^struct (\w+)", path.read_text(), re.MULTILINE)
        self.nodes_by_name = {
            name: getattr(self.module, name).schema.node for name in names
        }
        self.names_by_id = {
            node.id: name for name, node in self.nodes_by_name.items()
        }
        self.is_settings = bool(
            re.search(r"^\$\w*\.?settings\b", path.read_text(), re.MULTILINE)
        )

    def type_name(self, slot_type):
        """Returns the Python type of a schema type."""
        kind = slot_type.which()
        if kind == "list":
            element = self.type_name(slot_type.list.elementType)
            return f"tuple[{element}, ...]"
        if kind == "struct":
            return self.names_by_id[slot_type.struct.typeId]
        return SCALARS[kind]


def doc_lines(node, indent="    "):
    """Returns the docstring of a struct, with its documented fields."""
    summary = annotations_of(node).get("doc", "Generated type.")
    attributes = []
    for field in node.struct.fields:
        notes = annotations_of(field)
        text = notes.get("doc", "")
        if "unit" in notes:
            text = f"{text} Unit: {notes['unit']}.".strip()
        if text:
            attributes.append(f"{indent}    {snake_case(field.name)}: {text}")
    if not attributes:
        return [f'{indent}"""{summary}"""']
    return [
        f'{indent}"""{summary}',
        "",
        f"{indent}Attributes:",
        *attributes,
        f'{indent}"""',
    ]


def wire_class(schema, name):
    """Returns the lines of one data class with its codec."""
    node = schema.nodes_by_name[name]
    lines = ["@dataclasses.dataclass(slots=True)", f"class {name}:"]
    lines += [*doc_lines(node), ""]
    for field in node.struct.fields:
        kind = field.slot.type.which()
        type_name = schema.type_name(field.slot.type)
        if kind == "list":
            default = "()"
        elif kind == "struct":
            default = f"dataclasses.field(default_factory={type_name})"
        else:
            default = default_of(field)
        lines.append(f"    {snake_case(field.name)}: {type_name} = {default}")
    lines += ["", "    def fill(self, builder: Any) -> None:"]
    lines += ['        """Copies the fields into a message builder."""']
    for field in node.struct.fields:
        lines += fill_lines(field)
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
        f"            {read_expression(schema, field)},"
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


def fill_lines(field):
    """Returns the statements that copy one field into a builder."""
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


def read_expression(schema, field):
    """Returns the expression that reads one field from a reader."""
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


def wire_module(schema):
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
        lines += wire_class(schema, name)
    return "\n".join(lines)


def dependency_order(schema):
    """Returns struct names so that each follows the structs it contains."""
    ordered = []

    def visit(name):
        if name in ordered:
            return
        for field in schema.nodes_by_name[name].struct.fields:
            slot_type = field.slot.type
            if slot_type.which() == "list":
                slot_type = slot_type.list.elementType
            if slot_type.which() == "struct":
                visit(schema.names_by_id[slot_type.struct.typeId])
        ordered.append(name)

    for name in schema.nodes_by_name:
        visit(name)
    return ordered


def settings_module(schema):
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
        summary = annotations_of(node).get("doc", "Settings.")
        lines += [
            f"class {name}(SettingsModel):",
            f'    """{summary}"""',
            "",
        ]
        for field in node.struct.fields:
            lines.append(settings_field(schema, field))
        lines += ["", ""]
    return "\n".join(lines)


def settings_field(schema, field):
    """Returns the declaration of one settings field."""
    notes = annotations_of(field)
    type_name = schema.type_name(field.slot.type)
    arguments = []
    kind = field.slot.type.which()
    if kind == "list":
        arguments.append("default=()")
    elif kind == "struct" and "required" not in notes:
        arguments.append(f"default_factory={type_name}")
    elif "required" not in notes:
        arguments.append(f"default={default_of(field)}")
    for key, argument in (("minimum", "ge"), ("maximum", "le")):
        if key in notes:
            bound = notes[key]
            text = repr(int(bound)) if bound == int(bound) else repr(bound)
            arguments.append(f"{argument}={text}")
    description = notes.get("doc", "")
    if "unit" in notes:
        description = f"{description} Unit: {notes['unit']}.".strip()
    if description:
        arguments.append(f"description={quoted(description)}")
    joined = ", ".join(arguments)
    return f"    {snake_case(field.name)}: {type_name} = Field({joined})"


def generate(path):
    """Returns the formatted source generated from one schema file."""
    schema = Schema(path)
    source = (
        settings_module(schema) if schema.is_settings else wire_module(schema)
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
    """Writes the generated modules, or checks that they are current."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    stale = []
    for path in sorted(SCHEMA_DIR.glob("*.capnp")):
        if path.name == "annotations.capnp":
            continue
        target = path.with_suffix(".py")
        source = generate(path)
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
