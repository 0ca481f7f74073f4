#!/usr/bin/env python3
"""Checks the includes of src/ against the layers of docs/ARCHITECTURE.md: ALLOWED lists for each
folder the folders that it may include."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

# For each folder of src/ the folders that it may include besides itself.
ALLOWED = {
    "base": [],
    "policy": ["base"],
    "metrics": ["base", "policy"],
    "logging": ["base"],
    "lease": ["base", "policy"],
    "supervisor": ["base", "policy"],
    "rollout": ["base", "policy", "config"],
    "protocol": ["base", "policy"],
    "endpoint_distribution": ["base", "policy", "protocol"],
    "transport": ["base", "policy"],
    "config": ["base", "policy", "protocol", "discovery"],
    "control": ["base", "policy", "transport"],
    "discovery": ["base", "policy", "protocol", "transport", "proxy"],
    "proxy": ["base", "policy", "protocol", "transport", "metrics", "discovery"],
    "simulator_adapter": ["base", "policy", "protocol"],
    "endpoint_distributor": ["base", "policy", "endpoint_distribution", "transport", "protocol", "config", "logging"],
    "ctl": ["base", "policy", "supervisor", "rollout", "config", "logging", "protocol", "transport", "control"],
    "process": ["base", "policy", "protocol", "transport", "metrics", "logging", "config", "control", "discovery", "proxy"],
}

INCLUDE = re.compile(r'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)


def folder_of(path: str) -> str:
    return path.split("/", 1)[0]


def find_problems() -> list[str]:
    found = []
    for file in sorted((ROOT / "src").rglob("*.[ch]pp")):
        relative = file.relative_to(ROOT / "src").as_posix()
        folder = folder_of(relative)
        if folder == "testbed":
            continue  # the top layer, which may include all others
        if folder not in ALLOWED:
            found.append(f"src/{relative}: folder {folder} has no entry in ALLOWED of tools/check_layers.py")
            continue
        for included in INCLUDE.findall(file.read_text()):
            target = folder_of(included)
            if target != folder and target not in ALLOWED[folder]:
                found.append(f"src/{relative}: includes {included}, which folder {folder} may not include")
    return found


def main() -> int:
    found = find_problems()
    print("\n".join(found) if found else "layers: clean")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
