"""Identification of the team that sent a request."""

import hashlib
import hmac

import aiohttp.web

__all__ = ["TEAM_HEADER", "Operators", "UnauthorizedError"]

TEAM_HEADER = "Coltsfootchute-Team"


class UnauthorizedError(Exception):
    """The request names no known team."""


class Operators:
    """Teams and the SHA-256 hashes of their tokens.

    Parameters
    ----------
    hashes
        Hash as a hex string, by team. With None, the team header is trusted.
    """

    def __init__(self, hashes: dict[str, str] | None):
        self._hashes = hashes

    def team_of(self, request: aiohttp.web.BaseRequest) -> str:
        """Return the team of a request.

        Raises
        ------
        UnauthorizedError
            If the request names no team, or no team has the token.

        Notes
        -----
        Every hash is compared, and each in constant time, so that the time taken
        reveals neither the position nor the content of a match.
        """
        if self._hashes is None:
            team = request.headers.get(TEAM_HEADER, "")
            if not team:
                raise UnauthorizedError(f"the header {TEAM_HEADER} is missing")
            return team
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            raise UnauthorizedError("the header Authorization has no bearer token")
        token_hash = hashlib.sha256(token.strip().encode("utf-8", "surrogateescape"))
        teams = [
            team
            for team, known in self._hashes.items()
            if hmac.compare_digest(token_hash.hexdigest(), known)
        ]
        if not teams:
            raise UnauthorizedError("the bearer token belongs to no known team")
        return teams[0]
