"""Registries that are filled by decorators."""

import collections.abc
import typing

from coltsfootchute import errors

__all__ = ["Registry"]

T = typing.TypeVar("T")


class Registry(typing.Generic[T]):
    """A mapping from public names to implementations.

    Parameters
    ----------
    kind
        What the registry holds, for error messages, such as ``"policy"``.

    Examples
    --------
    >>> codecs = Registry("codec")
    >>> @codecs.register("plain")
    ... def plain(text):
    ...     return text
    >>> codecs["plain"]("a")
    'a'
    >>> codecs.names()
    ['plain']
    """

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> collections.abc.Callable[[T], T]:
        """Return a decorator that registers its argument under a name.

        Parameters
        ----------
        name
            The public name.

        Raises
        ------
        coltsfootchute.errors.RegistryError
            If the name is already registered.
        """

        def decorate(item: T) -> T:
            if name in self._items:
                raise errors.RegistryError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return decorate

    def __getitem__(self, name: str) -> T:
        """Return the item registered under a name."""
        try:
            return self._items[name]
        except KeyError:
            known = ", ".join(self.names())
            msg = f"unknown {self._kind} {name!r}; known: {known}"
            raise errors.RegistryError(msg) from None

    def __contains__(self, name: object) -> bool:
        return name in self._items

    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self._items)
