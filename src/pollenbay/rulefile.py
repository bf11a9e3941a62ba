"""Parser of the YAML rule files that are kept with the code of services."""

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
#: Maximum nesting of mappings and lists; a rule file needs four.
DEPTH_MAX = 8
RULE_FILE_SUFFIXES = frozenset({".yaml", ".yml"})
#: Files of this name are read from all subfolders too.
NESTED_FILE_NAME = "pollenbay.yaml"

_PATH_MARKER = " - at `"
_PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")
_CALL_CLASS_NAMES = ", ".join(call_class.value for call_class in CallClass)


class RuleFile(Struct, frozen=True):
    """Parsed rule file.

    :param file: path as given by the operator, or the name of the service if there is no file.
    """

    file: str
    rule: ServiceRule


class RuleFileError(Exception):
    """Base class of the errors of this module; the text names file, line, key and expected value.

    :param file: path of the file or folder.
    :param line: 1-based line, or None if the error has no line.
    :param key: path of the key, starting at ``$``.
    :param expected: description of the expected value.
    """

    def __init__(self, file: str, line: int | None, key: str, expected: str) -> None:
        place = file if line is None else f"{file}:{line}"
        super().__init__(f"{place}: {key}: {expected}")
        self.file = file
        self.line = line
        self.key = key
        self.expected = expected


class RuleFileUnreadableError(RuleFileError):
    """The file or folder cannot be read or is too large."""


class RuleFileSyntaxError(RuleFileError):
    """The file is not valid YAML, is nested too deeply, or has aliases or duplicate keys."""


class RuleFileContentError(RuleFileError):
    """A key is unknown or missing, or a value is invalid."""


def read_rule_folder(folder: Path) -> Result[tuple[RuleFile, ...], list[RuleFileError]]:
    """Read all rule files of a folder, sorted by path.

    A rule file is any ``.yaml`` or ``.yml`` file directly in the folder, and any file named
    ``pollenbay.yaml`` in its subfolders. All files are read even if one fails, so that all errors
    are reported at once.
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
    """Parse the text of a rule file.

    :param file: path for error messages.
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
    direct = {path for path in folder.iterdir() if path.suffix in RULE_FILE_SUFFIXES}
    nested = set(folder.rglob(NESTED_FILE_NAME))
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
        _reject_duplicate_keys(root, "$", file)
    return root


def _depth_change(event: Event) -> int:
    if isinstance(event, CollectionStartEvent):
        return 1
    return -1 if isinstance(event, CollectionEndEvent) else 0


def _event_line(event: Event) -> int:
    return event.start_mark.line + 1


def _run_loader(text: str, action) -> Node | None:
    loader = SafeLoader(text)
    try:
        return action(loader)
    finally:
        loader.dispose()


def _construct(root: Node | None) -> object:
    if root is None:
        return None
    return _run_loader("", lambda loader: loader.construct_document(root))


def _reject_duplicate_keys(node: Node, key: str, file: str) -> None:
    if isinstance(node, SequenceNode):
        for index, item in enumerate(node.value):
            _reject_duplicate_keys(item, f"{key}[{index}]", file)
    if isinstance(node, MappingNode):
        seen: set[str] = set()
        for name, value in node.value:
            child_key = f"{key}.{name.value}"
            if str(name.value) in seen:
                line = name.start_mark.line + 1
                raise RuleFileSyntaxError(file, line, child_key, "expected the key once")
            seen.add(str(name.value))
            _reject_duplicate_keys(value, child_key, file)


def _syntax_error(file: str, error: YAMLError) -> RuleFileError:
    mark = getattr(error, "problem_mark", None)
    line = None if mark is None else mark.line + 1
    problem = getattr(error, "problem", None) or str(error)
    return RuleFileSyntaxError(file, line, "$", f"expected YAML: {problem}")


def _content_error(file: str, root: Node | None, message: str) -> RuleFileError:
    expected, _, rest = message.partition(_PATH_MARKER)
    key = rest.rstrip("`") or "$"
    line = None if root is None else _line_of(root, key)
    return RuleFileContentError(file, line, key, _add_expected_values(expected, key))


def _add_expected_values(message: str, key: str) -> str:
    if message.startswith("Invalid enum value"):
        return f"{message}, expected one of {_CALL_CLASS_NAMES}"
    if "unknown field" in message:
        rule = CallRule if "[" in key else ServiceRule
        return f"{message}, expected one of {', '.join(rule.__struct_encode_fields__)}"
    return message


def _line_of(root: Node, key: str) -> int:
    node = root
    for name, index in _PATH_STEP.findall(key):
        child = _child(node, name, index)
        if child is None:
            break
        node = child
    return node.start_mark.line + 1


def _child(node: Node, name: str, index: str) -> Node | None:
    if isinstance(node, SequenceNode) and index:
        position = int(index)
        return node.value[position] if position < len(node.value) else None
    if isinstance(node, MappingNode):
        return next((value for key, value in node.value if key.value == name), None)
    return None
