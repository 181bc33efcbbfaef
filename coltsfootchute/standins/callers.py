"""Stand-in caller that looks up entry addresses, sends calls and resends them."""

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
DEFAULT_MAX_RESENDS = 12
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# Lifetime of addresses if the reply does not state one.
DEFAULT_KEEP_S = 5.0

# After these reasons, a resend with the same key can't change the result.
FINAL_REASONS = frozenset(
    {"key_reused", "key_expired", "key_malformed", "answer_not_kept", "no_rule"}
)


@dataclasses.dataclass(frozen=True)
class Call:
    """A request of a caller, independent of the attempts to send it.

    Parameters
    ----------
    method, path, body
        HTTP method, path and body of the request.
    repeatable
        Whether the request may be sent again without an idempotency key.
    headers
        Headers of the request, without the request id and the idempotency key.
    """

    method: str
    path: str
    repeatable: bool
    body: bytes = b""
    headers: typing.Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One attempt to send a call.

    Parameters
    ----------
    address
        Address of the entry; empty if no address was known.
    verdict
        Whether the call ran, may have run or did not run, as far as the response
        or the connection error tells.
    status
        HTTP status; 0 without a response.
    reason
        Reason that the entry gave, or the class name of the connection error.
    started_s, ended_s
        Monotonic times of the start and the end of the attempt in s.
    cut
        Whether the connection broke after the response header was received.
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
    """A call and all of its attempts.

    Parameters
    ----------
    call
        The request.
    request_id
        Request id of all attempts.
    key
        Idempotency key; empty for a repeatable call.
    attempts
        Attempts in the order of sending.
    """

    call: Call
    request_id: str
    key: str
    attempts: tuple[Attempt, ...]

    @property
    def verdict(self) -> verdicts.Verdict:
        """Return the verdict of the call as a whole.

        For a repeatable call, the refusal of a later attempt tells nothing about
        an earlier one, so an attempt that may have run takes precedence over
        later refusals. For a call with a key, the response of an entry applies
        to all attempts, except that a refusal before the claim applies only to
        its own attempt.
        """
        attempt_verdicts = [attempt.verdict for attempt in self.attempts]
        for verdict in (verdicts.Verdict.RAN, verdicts.Verdict.MAY_HAVE_RUN):
            if verdict in attempt_verdicts:
                return verdict
        return verdicts.Verdict.NOT_RUN

    @property
    def latency_s(self) -> float:
        """Return the time from the first attempt's start to the last one's end in s."""
        return self.attempts[-1].ended_s - self.attempts[0].started_s


def open_session() -> aiohttp.ClientSession:
    """Return an HTTP client that opens a connection per request and never resends.

    By default, aiohttp resends a GET once when a connection breaks, which would
    hide the lost connection. It has no public option to disable this.
    """
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    session = aiohttp.ClientSession(connector=connector)
    session._retry_connection = False
    return session


class AddressBook:
    """Caches the entry addresses of one service for the time that a reply states.

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
        self._valid_until_s = 0.0

    async def addresses(self) -> list[str]:
        """Return the cached addresses; fetch them first if they have expired.

        Raises
        ------
        coltsfootchute.errors.UnavailableError
            If no entry returns addresses and none are cached.
        """
        if time.monotonic() < self._valid_until_s:
            return self._addresses
        for api in self._rng.sample(self._apis, len(self._apis)):
            # The lifetime starts when the request is sent: the entry counts the
            # time for which the addresses stay valid from its response or earlier.
            requested_s = time.monotonic()
            try:
                reply = await self._fetch(api)
            except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
                continue
            addresses = [item["address"] for item in reply["addresses"]]
            if not addresses:
                continue
            self._addresses = addresses
            self._valid_until_s = requested_s + reply.get("keep_s", DEFAULT_KEEP_S)
            return self._addresses
        if not self._addresses:
            raise errors.UnavailableError(
                f"no addresses of {self._service} from any of {len(self._apis)} "
                "API listeners"
            )
        return self._addresses

    async def _fetch(self, api: str) -> dict[str, typing.Any]:
        url = f"http://{api}/v1/services/{self._service}/addresses"
        timeout = aiohttp.ClientTimeout(total=ADDRESS_TIMEOUT_S)
        async with self._session.get(url, timeout=timeout) as resp:
            resp.raise_for_status()
            return msgspec.json.decode(await resp.read())


class Caller:
    """Sends calls to one service and resends them safely after failures.

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
    max_resends
        Maximum number of attempts after the first one.
    """

    def __init__(
        self,
        service: str,
        apis: typing.Sequence[str],
        session: aiohttp.ClientSession,
        rng: random.Random,
        max_resends: int = DEFAULT_MAX_RESENDS,
    ):
        self._service = service
        self._session = session
        self._rng = rng
        self._max_resends = max_resends
        self._address_book = AddressBook(service, apis, session, rng)

    async def call(self, call: Call) -> Outcome:
        """Send a call until it ran, its result is final, or all resends are used.

        Each attempt uses the address with the fewest attempts so far. All attempts
        of a call that is not repeatable carry the same key.
        """
        key = "" if call.repeatable else str(self._new_key())
        request_id = key or str(uuid.UUID(int=self._rng.getrandbits(128), version=4))
        attempts: list[Attempt] = []
        used_addresses: list[str] = []
        for resend in range(self._max_resends + 1):
            if resend:
                await asyncio.sleep(self._backoff_s(resend))
            attempt = await self._make_attempt(call, used_addresses, request_id, key)
            used_addresses.append(attempt.address)
            attempts.append(attempt)
            if _is_final(attempt):
                break
        return Outcome(call, request_id, key, tuple(attempts))

    async def _make_attempt(
        self, call: Call, used_addresses: list[str], request_id: str, key: str
    ) -> Attempt:
        started = time.monotonic()
        try:
            addresses = await self._address_book.addresses()
        except errors.UnavailableError:
            verdict, ended = verdicts.Verdict.NOT_RUN, time.monotonic()
            return Attempt("", verdict, 0, "no_address", started, ended)
        # min returns the first address among those that were used least often.
        address = min(addresses, key=used_addresses.count)
        return await self._send(call, address, request_id, key)

    def _new_key(self) -> uuid.UUID:
        return keys.uuid7(time.time_ns() // 1_000_000, self._rng)

    def _backoff_s(self, resend: int) -> float:
        longest = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**resend)
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
                verdict=_parse_verdict(fields),
                status=status,
                reason=fields.get(verdicts.REASON_HEADER, ""),
                started_s=started,
                ended_s=time.monotonic(),
                wrong=_is_answer_to_other_request(call, request_id, body, fields),
                replayed=verdicts.REPLAYED_HEADER in fields,
            )
        cut = status != 0
        ended = time.monotonic()
        return Attempt(address, verdict, status, reason, started, ended, cut=cut)


def _parse_verdict(fields: typing.Mapping[str, str]) -> verdicts.Verdict:
    value = fields.get(verdicts.VERDICT_HEADER, verdicts.Verdict.RAN.value)
    return verdicts.Verdict(value)


def _is_final(attempt: Attempt) -> bool:
    ran = attempt.verdict is verdicts.Verdict.RAN
    return ran or attempt.reason in FINAL_REASONS


def _is_answer_to_other_request(
    call: Call, request_id: str, body: bytes, fields: typing.Mapping[str, str]
) -> bool:
    """Return whether a complete response of a target answers another request."""
    if _parse_verdict(fields) is not verdicts.Verdict.RAN:
        return False
    try:
        answer = msgspec.json.decode(body, type=targets.Answer)
    except msgspec.DecodeError:
        return True
    expected = hashlib.sha256(call.body).hexdigest()
    return answer.request_id != request_id or answer.body_sha256 != expected
