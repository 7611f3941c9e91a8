#!/usr/bin/env python3
"""Compares the reference pages with the code: each setting, metric, event, option and error kind has
its line in docs/reference/, and no page names one that the code does not have."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGES = ROOT / "docs/reference"


def sources():
    files = [*ROOT.glob("src/**/*.c"), *ROOT.glob("include/**/*.h")]
    return {f: f.read_text(encoding="utf-8") for f in sorted(files)}


def code_names(texts):
    """Returns what the code defines, by page."""
    whole = "\n".join(texts.values())
    settings = set(re.findall(r'\{\s*"([a-z_.]+)",\s*KQ_SETTING_', whole))
    metrics = set(re.findall(r'"(kumquat_[a-z0-9_]*[a-z0-9])["{ ]', whole))
    events = set()
    for call in re.findall(r'(?:kq_(?:group_|stream_|holder_)?log|ops\.event) \((.*?)\);', whole, re.S):
        head = call.split('",')[0] + '"'
        events |= set(re.findall(r'"([a-z]+(?:-[a-z]+)*)"', head))
    events |= set(re.findall(r'write_line \(LOG_[A-Z]+, "([a-z-]+)"', whole))
    options = set()
    for name, text in texts.items():
        if name.name in ("program.c", "ctl.c"):
            options |= {f"--{o}" for o in re.findall(r'\{\s*"([a-z-]+)",\s*(?:\'.\'|0),', text)}
    errors = set(re.findall(r'\[KQ_ERROR_[A-Z_]+\]\s*=\s*"([a-z-]+)"', whole)) - {"none"}
    return {"settings": settings, "metrics": metrics, "events": events, "commands": options,
            "errors": errors}


def page_names(page):
    """Returns the first cells of the page's tables that are code."""
    text = (PAGES / f"{page}.md").read_text(encoding="utf-8")
    return set(re.findall(r"^\| `([^` ]+)[^`]*` \|", text, re.M))


def main():
    wrong = 0
    texts = sources()
    for page, names in code_names(texts).items():
        described = page_names(page)
        if page == "commands":
            described = {n for n in described if n.startswith("--")}
        for name in sorted(names - described):
            print(f"docs/reference/{page}.md: {name} has no line; add one")
            wrong += 1
        for name in sorted(described - names):
            print(f"docs/reference/{page}.md: {name} is not in the code; remove its line")
            wrong += 1
        if not names:
            print(f"{page}: found nothing in the code; mend this check")
            wrong += 1
    print("reference pages agree with the code" if wrong == 0 else "reference pages differ")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
