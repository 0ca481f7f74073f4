#!/usr/bin/env python3
"""Fails on withdrawn identifiers in src/ and tests/ (tools/withdrawn_names.txt), and on withdrawn words in log lines.

Identifiers are looked for outside of string literals and comments: what is read and written outside of the process keeps
its words."""

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
    r"\b(turned away|sent on|relays?|heir|successor|set aside|keeper|declined?|terminated|the list|banned|commands?|verbs?|customers?)\b"
)


def withdrawn() -> list[tuple[str, str]]:
    names = []
    for line in (ROOT / "tools" / "withdrawn_names.txt").read_text().splitlines():
        words = line.split("#")[0].split()
        if words:
            names.append((words[0], words[1] if len(words) > 1 else ""))
    return names


def blanked(text: str) -> str:
    """The text with literals and comments replaced by spaces, so that lines keep their numbers."""
    return LITERAL_OR_COMMENT.sub(lambda match: re.sub(r"[^\n]", " ", match.group()), text)


def line_of(text: str, offset: int) -> int:
    return text.count("\n", 0, offset) + 1


def problems() -> list[str]:
    names = dict()
    for name, path in withdrawn():
        names.setdefault(name, []).append(path)
    found = []
    for top in ("src", "tests"):
        for file in sorted((ROOT / top).rglob("*.[ch]pp")):
            relative = file.relative_to(ROOT).as_posix()
            text = file.read_text()
            for match in IDENTIFIER.finditer(blanked(text)):
                paths = names.get(match.group())
                if paths and any(path in relative for path in paths):
                    found.append(f"{relative}:{line_of(text, match.start())}: {match.group()} is a withdrawn name")
            if top != "src" or relative.startswith("src/testbed/"):
                continue
            for call in LOG_CALL.finditer(text):
                word = LOG_WORDS.search(call.group(1))
                if word:
                    found.append(f"{relative}:{line_of(text, call.start())}: '{word.group()}' in a log line is a withdrawn word")
    return found


def main() -> int:
    found = problems()
    print("\n".join(found) if found else "names: clean")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
