"""Reads the YAML rule files that lie beside the code of services into typed rules."""

import re
from pathlib import Path

from msgspec import Struct, ValidationError, convert
from result import Err, Ok, Result
from yaml import AliasEvent, Event, Node, SafeLoader, YAMLError, parse
from yaml.events import CollectionEndEvent, CollectionStartEvent
from yaml.nodes import MappingNode, SequenceNode

from pollenbay.rule import CallRule, ServiceRule
from pollenbay.states import CallClass

FILE_BYTES_MAX = 64 * 1024
FILES_MAX = 1000
#: Containers inside one another; a rule file needs four.
DEPTH_MAX = 8
FOLDER_SUFFIXES = frozenset({".yaml", ".yml"})
#: Name under which a rule file is found anywhere below the folder.
NESTED_NAME = "pollenbay.yaml"

_PATH_MARK = " - at `"
_PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")
_CLASSES = ", ".join(call_class.value for call_class in CallClass)


class RuleFile(Struct, frozen=True):
    """One rule file and what it holds.

    :param file: path as the operator gave it, or the service's name if there is no file.
    """

    file: str
    rule: ServiceRule


class RuleFileError(Exception):
    """Root of the errors of this layer; the text names file, line, key and what is expected.

    :param file: path of the file or folder.
    :param line: line from 1, or None where there is none.
    :param key: path of the key from ``$``.
    """

    def __init__(self, file: str, line: int | None, key: str, expected: str) -> None:
        place = file if line is None else f"{file}:{line}"
        super().__init__(f"{place}: {key}: {expected}")
        self.file = file
        self.line = line
        self.key = key
        self.expected = expected


class RuleFileUnreadableError(RuleFileError):
    """The file or folder cannot be read, or is too large."""


class RuleFileSyntaxError(RuleFileError):
    """The file is not plain YAML: broken, too deep, with aliases or with a key given twice."""


class RuleFileContentError(RuleFileError):
    """A key is unknown or missing, or a value is not what is expected."""


def read_rule_folder(folder: Path) -> Result[tuple[RuleFile, ...], list[RuleFileError]]:
    """Read all rule files of a folder, in the order of their paths.

    A rule file is any ``.yaml`` or ``.yml`` file directly in the folder, and any file named
    ``pollenbay.yaml`` below it. All files are read, so that all errors are known at once.
    """
    try:
        paths = _find_rule_files(folder)
    except OSError as error:
        return Err([RuleFileUnreadableError(str(folder), None, "$", str(error))])
    if not paths:
        return Err([_folder_error(folder, "expected at least one rule file (.yaml)")])
    if len(paths) > FILES_MAX:
        return Err([_folder_error(folder, f"expected {FILES_MAX} rule files or fewer")])
    results = [read_rule_file(path) for path in paths]
    errors = [result.err_value for result in results if isinstance(result, Err)]
    if errors:
        return Err(errors)
    return Ok(tuple(result.ok_value for result in results if isinstance(result, Ok)))


def read_rule_file(path: Path) -> Result[RuleFile, RuleFileError]:
    """Read one rule file."""
    try:
        with path.open("rb") as stream:
            content = stream.read(FILE_BYTES_MAX + 1)
        text = content.decode("utf-8")
    except UnicodeDecodeError:
        return Err(RuleFileUnreadableError(str(path), None, "$", "expected UTF-8 text"))
    except OSError as error:
        return Err(RuleFileUnreadableError(str(path), None, "$", error.strerror or str(error)))
    if len(content) > FILE_BYTES_MAX:
        expected = f"expected {FILE_BYTES_MAX} bytes or fewer"
        return Err(RuleFileUnreadableError(str(path), None, "$", expected))
    return parse_rule_file(text, str(path))


def parse_rule_file(text: str, file: str) -> Result[RuleFile, RuleFileError]:
    """Turn the text of a rule file into rules.

    :param file: name for the errors.
    """
    try:
        root = _compose(text, file)
        document = _construct(root)
    except RuleFileError as error:
        return Err(error)
    except YAMLError as error:
        return Err(_syntax_error(file, error))
    except ValueError as error:
        return Err(RuleFileSyntaxError(file, None, "$", f"expected plain values: {error}"))
    try:
        return Ok(RuleFile(file, convert(document, ServiceRule)))
    except ValidationError as error:
        return Err(_content_error(file, root, str(error)))


def _find_rule_files(folder: Path) -> list[Path]:
    direct = {path for path in folder.iterdir() if path.suffix in FOLDER_SUFFIXES}
    nested = set(folder.rglob(NESTED_NAME))
    return sorted(path for path in direct | nested if path.is_file())


def _folder_error(folder: Path, expected: str) -> RuleFileError:
    return RuleFileUnreadableError(str(folder), None, "$", expected)


def _compose(text: str, file: str) -> Node | None:
    depth = 0
    for event in parse(text, Loader=SafeLoader):
        depth += _depth_change(event)
        if depth > DEPTH_MAX:
            expected = f"expected {DEPTH_MAX} levels or fewer"
            raise RuleFileSyntaxError(file, _event_line(event), "$", expected)
        if isinstance(event, AliasEvent):
            raise RuleFileSyntaxError(file, _event_line(event), "$", "expected no aliases")
    root = _run_loader(text, SafeLoader.get_single_node)
    if root is not None:
        _refuse_doubled_keys(root, "$", file)
    return root


def _depth_change(event: Event) -> int:
    if isinstance(event, CollectionStartEvent):
        return 1
    return -1 if isinstance(event, CollectionEndEvent) else 0


def _event_line(event: Event) -> int:
    return event.start_mark.line + 1


def _run_loader(text: str, read) -> Node | None:
    loader = SafeLoader(text)
    try:
        return read(loader)
    finally:
        loader.dispose()


def _construct(root: Node | None) -> object:
    if root is None:
        return None
    return _run_loader("", lambda loader: loader.construct_document(root))


def _refuse_doubled_keys(node: Node, key: str, file: str) -> None:
    if isinstance(node, SequenceNode):
        for index, item in enumerate(node.value):
            _refuse_doubled_keys(item, f"{key}[{index}]", file)
    if isinstance(node, MappingNode):
        seen: set[str] = set()
        for name, value in node.value:
            inner = f"{key}.{name.value}"
            if str(name.value) in seen:
                line = name.start_mark.line + 1
                raise RuleFileSyntaxError(file, line, inner, "expected the key once")
            seen.add(str(name.value))
            _refuse_doubled_keys(value, inner, file)


def _syntax_error(file: str, error: YAMLError) -> RuleFileError:
    mark = getattr(error, "problem_mark", None)
    line = None if mark is None else mark.line + 1
    problem = getattr(error, "problem", None) or str(error)
    return RuleFileSyntaxError(file, line, "$", f"expected YAML: {problem}")


def _content_error(file: str, root: Node | None, message: str) -> RuleFileError:
    expected, _, rest = message.partition(_PATH_MARK)
    key = rest.rstrip("`") or "$"
    line = None if root is None else _line_of(root, key)
    return RuleFileContentError(file, line, key, _explain(expected, key))


def _explain(message: str, key: str) -> str:
    if message.startswith("Invalid enum value"):
        return f"{message}, expected one of {_CLASSES}"
    if "unknown field" in message:
        rule = CallRule if "[" in key else ServiceRule
        return f"{message}, expected one of {', '.join(rule.__struct_encode_fields__)}"
    return message


def _line_of(root: Node, key: str) -> int:
    node = root
    for name, index in _PATH_STEP.findall(key):
        inner = _child(node, name, index)
        if inner is None:
            break
        node = inner
    return node.start_mark.line + 1


def _child(node: Node, name: str, index: str) -> Node | None:
    if isinstance(node, SequenceNode) and index:
        position = int(index)
        return node.value[position] if position < len(node.value) else None
    if isinstance(node, MappingNode):
        return next((value for key, value in node.value if key.value == name), None)
    return None
