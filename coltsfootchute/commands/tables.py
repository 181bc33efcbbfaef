"""Output of commands: tables for people, JSON for programs."""

import sys
import typing

import msgspec

__all__ = ["print_json", "print_table"]

# Wide enough that no cell is broken when the output goes to a file or a pipe.
PIPE_WIDTH = 240


def print_json(value: object) -> None:
    """Print a value as JSON with two spaces of indentation."""
    data = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(data.decode())


def print_table(
    headings: typing.Sequence[str],
    rows: typing.Iterable[typing.Sequence[object]],
    title: str = "",
) -> None:
    """Print a table.

    Parameters
    ----------
    headings
        Heading of each column.
    rows
        Cells of each row; None is printed as an empty cell.
    title
        Line above the table.
    """
    import rich.box
    import rich.console
    import rich.table
    import rich.text

    table = rich.table.Table(
        box=rich.box.SIMPLE_HEAD, title=title or None, title_justify="left"
    )
    for heading in headings:
        table.add_column(heading, overflow="fold")
    for row in rows:
        cells = ["" if cell is None else str(cell) for cell in row]
        table.add_row(*map(rich.text.Text, cells))
    width = None if sys.stdout.isatty() else PIPE_WIDTH
    rich.console.Console(width=width, highlight=False).print(table)
