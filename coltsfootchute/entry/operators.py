"""Which team sent a request."""

import hashlib
import hmac

import aiohttp.web

__all__ = ["TEAM_HEADER", "Operators", "UnauthorizedError"]

TEAM_HEADER = "Coltsfootchute-Team"


class UnauthorizedError(Exception):
    """The request names no known team."""


class Operators:
    """Teams and the SHA-256 of their tokens.

    Parameters
    ----------
    hashes
        Hash in hex by team; None trusts the team header.
    """

    def __init__(self, hashes: dict[str, str] | None):
        self._hashes = hashes

    def team_of(self, request: aiohttp.web.BaseRequest) -> str:
        """Return the team of a request.

        Raises
        ------
        UnauthorizedError
            If there is no team, or no team has the token.

        Notes
        -----
        Every hash is compared, in constant time, so that the time tells nothing
        about the position or the content of a match.
        """
        if self._hashes is None:
            team = request.headers.get(TEAM_HEADER, "")
            if not team:
                raise UnauthorizedError(f"needs the header {TEAM_HEADER}")
            return team
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            raise UnauthorizedError("needs a bearer token")
        given = hashlib.sha256(token.strip().encode("utf-8", "surrogateescape"))
        matches = [
            team
            for team, known in self._hashes.items()
            if hmac.compare_digest(given.hexdigest(), known)
        ]
        if not matches:
            raise UnauthorizedError("the token is unknown")
        return matches[0]
