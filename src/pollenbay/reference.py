"""Generator of the reference pages, from the types of the settings and the list of instruments.

Run as ``python -m pollenbay.reference settings`` or ``metrics``.
"""

from collections.abc import Iterator
from inspect import cleandoc
from re import compile as compile_pattern
from typing import get_args

import click
from msgspec import NODEFAULT, Struct
from msgspec.json import encode
from msgspec.structs import FieldInfo, fields

from pollenbay.metrics import INSTRUMENTS, Instrument
from pollenbay.platform.settings import PlatformSettings
from pollenbay.settings import Settings

PARAM_PATTERN = compile_pattern(r":param (\w+): ((?:.|\n(?!:))*)")
SETTINGS_HEADER = """# Settings

Settings of a node, in one YAML file given to `pollenbayd --settings FILE`. `pollenbayd --check`
checks a file. An invalid file ends the daemon with exit code 2 and a line that names the file, the
key and the expected value. This page is generated from the schema by
`python -m pollenbay.reference settings`.

| key | type | default | meaning |
| --- | --- | --- | --- |
"""
METRICS_HEADER = """# Metrics

Served at `/metrics` on the `admin` port, without a token. Label values are bounded: classes,
outcomes and reasons are enumerations, and callers past the first 50 share the label `other`.
Counters of claims (`pollenbay_claims_*`), gossip (`pollenbay_gossip_*`, `pollenbay_traffic_*`),
calls to the table (`pollenbay_table_service_*`), bodies for which there was no memory
(`pollenbay_body_memory_*`) and calls whose caller has left (`pollenbay_watch_left_total`) are
exported too. This page is generated from the list of instruments by
`python -m pollenbay.reference metrics`.

| name | kind | labels | meaning |
| --- | --- | --- | --- |
"""


def settings_page() -> str:
    """Return the reference of the settings as Markdown."""
    rows = [*_settings_rows(Settings, ""), *_settings_rows(PlatformSettings, "platform.")]
    return SETTINGS_HEADER + "".join(rows)


def metrics_page() -> str:
    """Return the reference of the metrics as Markdown."""
    return METRICS_HEADER + "".join(_metric_row(instrument) for instrument in INSTRUMENTS)


def _metric_row(instrument: Instrument) -> str:
    labels = ", ".join(f"`{label}`" for label in instrument.labels)
    return f"| `{instrument.name}` | {instrument.kind.value} | {labels} | {instrument.text} |\n"


def _settings_rows(struct: type[Struct], prefix: str) -> Iterator[str]:
    meanings = _meanings(struct)
    for field in fields(struct):
        key = prefix + field.encode_name
        nested = _nested_struct(field)
        if nested is not None:
            yield from _settings_rows(nested, f"{key}.")
        else:
            meaning = meanings.get(field.name, "")
            yield f"| `{key}` | {_type_name(field)} | {_default(field)} | {meaning} |\n"


def _nested_struct(field: FieldInfo) -> type[Struct] | None:
    """Return the structure type of a field, optional or not, or None for a plain value."""
    for candidate in get_args(field.type) or (field.type,):
        if isinstance(candidate, type) and issubclass(candidate, Struct):
            return candidate
    return None


def _meanings(struct: type[Struct]) -> dict[str, str]:
    text = cleandoc(struct.__doc__ or "")
    return {name: " ".join(meaning.split()) for name, meaning in PARAM_PATTERN.findall(text)}


def _type_name(field: FieldInfo) -> str:
    base = getattr(field.type, "__supertype__", field.type)
    if base == tuple[str, ...]:
        return "list of text"
    if dict in (getattr(candidate, "__origin__", None) for candidate in (base, *get_args(base))):
        return "mapping"
    return {str: "text", int: "integer", float: "number", bool: "true or false"}[base]


def _default(field: FieldInfo) -> str:
    if field.default is NODEFAULT:
        return "required"
    return f"`{encode(field.default).decode('utf-8')}`"


@click.command()
@click.argument("page", type=click.Choice(["settings", "metrics"]))
def main(page: str) -> None:
    """Print a reference page."""
    pages = {"settings": settings_page, "metrics": metrics_page}
    click.echo(pages[page](), nl=False)


if __name__ == "__main__":
    main()
