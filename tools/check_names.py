#!/usr/bin/env python3
"""Fails if src/ or tests/ use an identifier that tools/withdrawn_names.txt lists, or if a log line
of src/ outside of src/testbed/ contains a word that LOG_WORDS matches.

Identifiers in string literals and comments are ignored: keys of files, words of protocols and other
names that leave the process keep their wording."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

LITERAL_OR_COMMENT = re.compile(
    r'R"(?P<delimiter>[^()\\\s]{0,16})\((?:.|\n)*?\)(?P=delimiter)"'  # raw strings
    r'|"(?:[^"\\\n]|\\.)*"'
    r"|(?<![0-9a-fA-F])'(?:[^'\\\n]|\\.)+'"
    r"|//[^\n]*"
    r"|/\*(?:.|\n)*?\*/"
)
IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
LOG_CALL = re.compile(r'\b(?:log|log_|logTo|logger_?\.(?:log|info|warning|error)|host_?\.log|host_->log)\s*\((?:[^;"]*?)((?:"(?:[^"\\\n]|\\.)*"\s*)+)')
LOG_WORDS = re.compile(
    r"\b(turned away|sent on|relays?|heir|successor|set aside|keeper|declined?|terminated|the list|banned|commands?|verbs?|customers?"
    r"|heard|told|not there|hand(?:s|ed|ing)? over|gives? up)\b"
)


def read_withdrawn_names() -> list[tuple[str, str]]:
    """Pairs of a name and a part of the paths to which it is restricted, empty for all paths."""
    names = []
    for line in (ROOT / "tools" / "withdrawn_names.txt").read_text().splitlines():
        words = line.split("#")[0].split()
        if words:
            names.append((words[0], words[1] if len(words) > 1 else ""))
    return names


def blank_literals_and_comments(text: str) -> str:
    """Replaces literals and comments by spaces. Line breaks stay, so that line numbers do too."""
    return LITERAL_OR_COMMENT.sub(lambda match: re.sub(r"[^\n]", " ", match.group()), text)


def line_number(text: str, offset: int) -> int:
    return text.count("\n", 0, offset) + 1


def find_problems() -> list[str]:
    paths_by_name = dict()
    for name, path in read_withdrawn_names():
        paths_by_name.setdefault(name, []).append(path)
    found = []
    for top in ("src", "tests"):
        for file in sorted((ROOT / top).rglob("*.[ch]pp")):
            relative = file.relative_to(ROOT).as_posix()
            text = file.read_text()
            for match in IDENTIFIER.finditer(blank_literals_and_comments(text)):
                paths = paths_by_name.get(match.group())
                if paths and any(path in relative for path in paths):
                    line = line_number(text, match.start())
                    found.append(f"{relative}:{line}: identifier '{match.group()}' is listed in tools/withdrawn_names.txt")
            if top != "src" or relative.startswith("src/testbed/"):
                continue
            for call in LOG_CALL.finditer(text):
                word = LOG_WORDS.search(call.group(1))
                if word:
                    line = line_number(text, call.start())
                    found.append(f"{relative}:{line}: log line contains the withdrawn word '{word.group()}'")
    return found


def main() -> int:
    found = find_problems()
    print("\n".join(found) if found else "names: clean")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
