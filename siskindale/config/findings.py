"""Findings of checks, which are collected with their place and reported together."""

import attrs


@attrs.frozen
class Finding:
    """One error in a file; `place` is `file:line:column` or `file: $.path`."""

    place: str
    problem: str
    remedy: str = ""

    def __str__(self) -> str:
        text = f"{self.place}: {self.problem}"
        return f"{text}; {self.remedy}" if self.remedy else text
