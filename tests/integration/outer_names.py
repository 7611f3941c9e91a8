#!/usr/bin/env python3
"""Compares the names that leave the processes with the list in outer_names.txt.

Such a name is a string literal of the code, or a key inside one, that a peer, a stored document, a
settings file, an operator or a metrics scraper reads: fields and values of messages, stored keys,
settings, flags, environment variables, log events and their keys, metrics and their labels. A
rename in the code must not change them. `outer_names.py --write` writes the list anew after an
intended change.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIST = pathlib.Path(__file__).with_name("outer_names.txt")
CODE = ["src/**/*.c", "src/**/*.cc", "include/**/*.h", "platform/*.[ch]", "programs/*.c",
        "standins/**/*.[ch]"]
TEMPLATES = ["deploy/*.toml", "docs/examples/*.toml"]

TOKEN = re.compile(r'/\*.*?\*/|//[^\n]*|\'(?:\\.|[^\'\\\n])*\'|"((?:\\.|[^"\\\n])*)"', re.S)
WHOLE = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.:/-]+|/[A-Za-z0-9_./=&?%-]+")
KEY = re.compile(r'(?:^|[ &?,{(])\\?"?([A-Za-z][A-Za-z0-9_.-]*)(?:\\")?(?:=|\\":)')
FLAG = re.compile(r"--[a-z][a-z-]+")
TEMPLATE_KEY = re.compile(r"^\[*([a-z_.]+)\]*\s*$|^([a-z_0-9]+)\s*=", re.M)
DIGITS_ONLY = re.compile(r"[\d.:/-]+")
# Words of usage and error texts, which no program reads.
TEXT_ONLY = {"ADDRESS", "HEX", "HOW", "ID", "IP", "IP:PORT", "LEVEL", "NAME", "PERCENT", "SECONDS",
             "build/measured", "charset", "docs/reference/settings.md", "text/plain", "ip"}


def literals(text):
    text = re.sub(r"#\s*include.*", "", text)
    return [match.group(1) for match in TOKEN.finditer(text) if match.group(1) is not None]


def names_of_literal(literal):
    names = set(FLAG.findall(literal)) | set(KEY.findall(literal))
    if WHOLE.fullmatch(literal):
        names.add(literal.split("%")[0].rstrip("?&="))
    return names


def outer_names():
    names = set()
    for pattern in CODE:
        for file in ROOT.glob(pattern):
            for literal in literals(file.read_text(encoding="utf-8")):
                names |= names_of_literal(literal)
    for pattern in TEMPLATES:
        for file in ROOT.glob(pattern):
            for match in TEMPLATE_KEY.finditer(file.read_text(encoding="utf-8")):
                names.add(match.group(1) or match.group(2))
    return {n for n in names if len(n) > 1 and not DIGITS_ONLY.fullmatch(n)} - TEXT_ONLY


def main():
    found = outer_names()
    if sys.argv[1:] == ["--write"]:
        LIST.write_text("".join(f"{name}\n" for name in sorted(found)), encoding="utf-8")
        return 0
    listed = set(LIST.read_text(encoding="utf-8").split("\n")) - {""}
    for name in sorted(listed - found):
        print(f"{name}: not in the code any more; restore it, it is read outside the process")
    for name in sorted(found - listed):
        print(f"{name}: not in outer_names.txt; add it if it is meant to leave the process")
    if listed == found:
        print("names that leave the processes are those of outer_names.txt")
    return 0 if listed == found else 1


if __name__ == "__main__":
    sys.exit(main())
