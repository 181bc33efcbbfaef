"""A stand-in caller: asks for addresses, keeps them, connects, and resends."""

import asyncio
import dataclasses
import hashlib
import random
import time
import typing
import uuid

import aiohttp
import msgspec

from coltsfootchute import errors, verdicts
from coltsfootchute.standins import keys, targets

__all__ = ["AddressBook", "Attempt", "Call", "Caller", "Outcome", "open_session"]

ATTEMPT_TIMEOUT_S = 6.0
ADDRESS_TIMEOUT_S = 1.0
DEFAULT_RESENDS = 12
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
DEFAULT_KEEP_S = 5.0

# Resending the same key can't change these.
FINAL_REASONS = frozenset(
    {"key_reused", "key_expired", "key_malformed", "answer_not_kept", "no_rule"}
)


@dataclasses.dataclass(frozen=True)
class Call:
    """A request as a caller thinks of it, before any attempt.

    Parameters
    ----------
    method, path, body
        Of the request.
    repeatable
        Whether it may be sent to another address without a key.
    headers
        Headers of the request besides id and key.
    """

    method: str
    path: str
    repeatable: bool
    body: bytes = b""
    headers: typing.Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One sending of a call.

    Parameters
    ----------
    address
        The entry.
    verdict
        What the caller may conclude from the response or its lack.
    status
        HTTP status; 0 without a response.
    reason
        The entry's reason, or the name of the connection error.
    started_s, ended_s
        Monotonic times in s.
    cut
        Whether a connection broke after the head of the response.
    wrong
        Whether a complete response belongs to another request.
    replayed
        Whether the entry returned a stored response.
    """

    address: str
    verdict: verdicts.Verdict
    status: int
    reason: str
    started_s: float
    ended_s: float
    cut: bool = False
    wrong: bool = False
    replayed: bool = False


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A call with all of its attempts.

    Parameters
    ----------
    call
        The request.
    request_id
        Id that all attempts carried.
    key
        Idempotency key; empty for a repeatable call.
    attempts
        In the order of sending.
    """

    call: Call
    request_id: str
    key: str
    attempts: tuple[Attempt, ...]

    @property
    def verdict(self) -> verdicts.Verdict:
        """Return the verdict of the call as a whole.

        A later refusal of a repeatable call says nothing about an earlier
        attempt, so one attempt that may have run outweighs later refusals. For
        a call with a key the entries answer for all attempts, except that a
        refusal before the claim answers only for itself.
        """
        found = [attempt.verdict for attempt in self.attempts]
        for verdict in (verdicts.Verdict.RAN, verdicts.Verdict.MAY_HAVE_RUN):
            if verdict in found:
                return verdict
        return verdicts.Verdict.NOT_RUN

    @property
    def latency_s(self) -> float:
        """Return the time from the first sending to the last response in s."""
        return self.attempts[-1].ended_s - self.attempts[0].started_s


def open_session() -> aiohttp.ClientSession:
    """Return an HTTP client that connects for each attempt and resends nothing.

    aiohttp resends a GET once by itself when a connection breaks, which would
    hide the break. It has no public option to turn this off.
    """
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    session = aiohttp.ClientSession(connector=connector)
    session._retry_connection = False
    return session


class AddressBook:
    """Addresses of the entries for one service, kept as long as stated.

    Parameters
    ----------
    service
        Name of the service.
    apis
        Addresses of API listeners.
    session
        HTTP client.
    rng
        Source of randomness.
    """

    def __init__(
        self,
        service: str,
        apis: typing.Sequence[str],
        session: aiohttp.ClientSession,
        rng: random.Random,
    ):
        self._service = service
        self._apis = list(apis)
        self._session = session
        self._rng = rng
        self._addresses: list[str] = []
        self._kept_until = 0.0

    async def addresses(self) -> list[str]:
        """Return the addresses; asks an entry when the kept ones are too old.

        Raises
        ------
        coltsfootchute.errors.UnavailableError
            If no entry responds and none are kept.
        """
        if time.monotonic() < self._kept_until:
            return self._addresses
        for api in self._rng.sample(self._apis, len(self._apis)):
            # The time counts from the question, since the entry's own promise
            # to serve its addresses counts from its response or earlier.
            asked = time.monotonic()
            try:
                reply = await self._ask(api)
            except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
                continue
            addresses = [item["address"] for item in reply["addresses"]]
            if not addresses:
                continue
            self._addresses = addresses
            self._kept_until = asked + reply.get("keep_s", DEFAULT_KEEP_S)
            return self._addresses
        if not self._addresses:
            raise errors.UnavailableError(f"no entry of {self._service} responds")
        return self._addresses

    async def _ask(self, api: str) -> dict[str, typing.Any]:
        url = f"http://{api}/v1/services/{self._service}/addresses"
        timeout = aiohttp.ClientTimeout(total=ADDRESS_TIMEOUT_S)
        async with self._session.get(url, timeout=timeout) as resp:
            resp.raise_for_status()
            return msgspec.json.decode(await resp.read())


class Caller:
    """Sends calls to one service and resends them as a careful caller would.

    Parameters
    ----------
    service
        Name of the service.
    apis
        Addresses of API listeners.
    session
        HTTP client; see `open_session`.
    rng
        Source of randomness.
    resends
        Most sendings after the first one.
    """

    def __init__(
        self,
        service: str,
        apis: typing.Sequence[str],
        session: aiohttp.ClientSession,
        rng: random.Random,
        resends: int = DEFAULT_RESENDS,
    ):
        self._service = service
        self._session = session
        self._rng = rng
        self._resends = resends
        self._book = AddressBook(service, apis, session, rng)

    async def call(self, call: Call) -> Outcome:
        """Send a call until it ran, its result is final, or resends run out.

        A repeatable call goes to another address each time; a call with a key
        carries the same key each time.
        """
        key = "" if call.repeatable else str(self._new_key())
        request_id = key or str(uuid.UUID(int=self._rng.getrandbits(128), version=4))
        attempts: list[Attempt] = []
        used: list[str] = []
        for resend in range(self._resends + 1):
            if resend:
                await asyncio.sleep(self._pause_s(resend))
            attempt = await self._attempt(call, used, request_id, key)
            used.append(attempt.address)
            attempts.append(attempt)
            if _is_final(attempt):
                break
        return Outcome(call, request_id, key, tuple(attempts))

    async def _attempt(
        self, call: Call, used: list[str], request_id: str, key: str
    ) -> Attempt:
        started = time.monotonic()
        try:
            addresses = await self._book.addresses()
        except errors.UnavailableError:
            verdict, ended = verdicts.Verdict.NOT_RUN, time.monotonic()
            return Attempt("", verdict, 0, "no_address", started, ended)
        # The address that was used least often; the first of equals.
        address = min(addresses, key=used.count)
        return await self._send(call, address, request_id, key)

    def _new_key(self) -> uuid.UUID:
        return keys.uuid7(time.time_ns() // 1_000_000, self._rng)

    def _pause_s(self, resend: int) -> float:
        longest = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**resend)
        return self._rng.uniform(longest / 2, longest)

    async def _send(
        self, call: Call, address: str, request_id: str, key: str
    ) -> Attempt:
        headers = {**call.headers, targets.REQUEST_ID_HEADER: request_id}
        if key:
            headers[verdicts.KEY_HEADER] = key
        started = time.monotonic()
        status, body, fields = 0, b"", {}
        try:
            async with self._session.request(
                call.method,
                f"http://{address}/{self._service}{call.path}",
                data=call.body or None,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S),
            ) as resp:
                status, fields = resp.status, resp.headers
                body = await resp.read()
        except aiohttp.ClientConnectorError as exc:
            verdict, reason = verdicts.Verdict.NOT_RUN, type(exc).__name__
        except (aiohttp.ClientError, TimeoutError) as exc:
            verdict, reason = verdicts.Verdict.MAY_HAVE_RUN, type(exc).__name__
        else:
            return Attempt(
                address=address,
                verdict=_verdict(fields),
                status=status,
                reason=fields.get(verdicts.REASON_HEADER, ""),
                started_s=started,
                ended_s=time.monotonic(),
                wrong=_is_wrong(call, request_id, body, fields),
                replayed=verdicts.REPLAYED_HEADER in fields,
            )
        cut = status != 0
        ended = time.monotonic()
        return Attempt(address, verdict, status, reason, started, ended, cut=cut)


def _verdict(fields: typing.Mapping[str, str]) -> verdicts.Verdict:
    value = fields.get(verdicts.VERDICT_HEADER, verdicts.Verdict.RAN.value)
    return verdicts.Verdict(value)


def _is_final(attempt: Attempt) -> bool:
    ran = attempt.verdict is verdicts.Verdict.RAN
    return ran or attempt.reason in FINAL_REASONS


def _is_wrong(
    call: Call, request_id: str, body: bytes, fields: typing.Mapping[str, str]
) -> bool:
    """Tell whether a target's complete response answers another request."""
    if _verdict(fields) is not verdicts.Verdict.RAN:
        return False
    try:
        answer = msgspec.json.decode(body, type=targets.Answer)
    except msgspec.DecodeError:
        return True
    expected = hashlib.sha256(call.body).hexdigest()
    return answer.request_id != request_id or answer.body_sha256 != expected
