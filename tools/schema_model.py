"""Reads Cap'n Proto schemas for ``generate_schema.py``."""

import pathlib
import re

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
PYTHON_TYPES = {
    "text": "str",
    "data": "bytes",
    "bool": "bool",
    "float32": "float",
    "float64": "float",
} | {
    f"{sign}int{bits}": "int" for sign in ("", "u") for bits in (8, 16, 32, 64)
}


def snake_case(name):
    """Converts a camel-case schema name to snake case."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def read_annotations(node):
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


def default_source(field):
    """Returns the default value of a field as Python source.

    Returns None for lists and structs, which have no literal default.
    """
    kind = field.slot.type.which()
    if kind in ("list", "struct"):
        return None
    value = getattr(field.slot.defaultValue, kind)
    if kind == "data":
        return repr(bytes(value))
    if kind.startswith("float"):
        return repr(round(value, 9))
    return repr(value) if kind != "text" else quote(value)


def quote(text):
    """Returns a text as a double-quoted Python literal."""
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
        return PYTHON_TYPES[kind]


def docstring_lines(node, indent="    "):
    """Returns the docstring lines of a struct, with its documented fields."""
    summary = read_annotations(node).get("doc", "Generated type.")
    attributes = []
    for field in node.struct.fields:
        annotations = read_annotations(field)
        text = annotations.get("doc", "")
        if "unit" in annotations:
            text = f"{text} Unit: {annotations['unit']}.".strip()
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


def dependency_order(schema):
    """Returns the struct names in topological order, contained ones first."""
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
