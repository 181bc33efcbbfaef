"""Write the tables of `docs/CAPACITY.md` from `docs/capacity.json`.

``python -m benchmarks.capacity`` rewrites the blocks between
``<!-- table NAME -->`` and ``<!-- end -->``; the text around them is written by
hand. With ``--check`` it writes nothing and exits with 1 if the page doesn't agree
with the results.
"""

import json
import pathlib
import re
import sys

# Importing these modules registers their tables.
from benchmarks import (
    capacity_control_tables,  # noqa: F401
    capacity_entry_tables,  # noqa: F401
    capacity_tables,
    capacity_verdict_tables,  # noqa: F401
)
from benchmarks import capacity_models as models

__all__ = ["PAGE", "RESULTS", "main", "rewrite"]

DOCS_DIR = pathlib.Path(__file__).resolve().parent.parent / "docs"
PAGE = DOCS_DIR / "CAPACITY.md"
RESULTS = DOCS_DIR / "capacity.json"
_TABLE_BLOCK = re.compile(r"(<!-- table ([a-z_]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def rewrite(page: str, data: dict) -> str:
    """Return the page with all tables regenerated from the results.

    Parameters
    ----------
    page
        The text of the page.
    data
        The content of `docs/capacity.json`.
    """
    results = models.Results(data)

    def replace(found: re.Match) -> str:
        return f"{found[1]}{capacity_tables.TABLES[found[2]](results)}{found[3]}"

    return _TABLE_BLOCK.sub(replace, page)


def main(args: list[str]) -> int:
    """Rewrite the page, or check it with ``--check``; return the exit code."""
    page = PAGE.read_text()
    wanted = rewrite(page, json.loads(RESULTS.read_text()))
    if "--check" in args:
        return int(page != wanted)
    PAGE.write_text(wanted)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
