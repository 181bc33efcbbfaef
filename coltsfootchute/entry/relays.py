"""Streaming of a target's response to the caller."""

from coltsfootchute import verdicts
from coltsfootchute.entry import answers, attempts, phases, requests
from coltsfootchute.proto import coltsfootchute_pb2

__all__ = ["MAX_STORED_BYTES", "Relay"]

MAX_STORED_BYTES = 16 * 1024


class Relay:
    """Streams one response to the caller, part by part.

    Parameters
    ----------
    call
        The call.
    attempt
        Its attempt, with a response head.
    keep_alive
        Whether the caller's connection stays open afterwards.
    is_stale
        Whether to tell the caller that the entry is stale.

    Notes
    -----
    At most one part is held in memory besides the buffers of the connections. If the
    call has a claim, up to `MAX_STORED_BYTES` of the answer are kept for it.
    """

    def __init__(
        self,
        call: requests.Call,
        attempt: attempts.Attempt,
        keep_alive: bool,
        is_stale: bool,
    ):
        self._call = call
        self._attempt = attempt
        self._is_response_close_delimited = attempt.close_delimited
        # HTTP/1.0 has no other way to end a body of unknown length.
        self._is_answer_close_delimited = (
            self._is_response_close_delimited
            or (attempt.message.chunked and call.request.version < (1, 1))
        ) and answers.may_close(call.request)
        self._keep_alive = keep_alive and not self._is_answer_close_delimited
        self._is_stale = is_stale
        self._stored_parts: list[bytes] | None = [] if call.claim is not None else None
        self._stored_bytes = 0

    @property
    def is_provably_complete(self) -> bool:
        """Whether the framing of the response proves that it is complete.

        A close-delimited response looks complete also if the target crashed, so its
        claim is not settled.
        """
        return not self._is_response_close_delimited

    async def run(self) -> answers.WrittenAnswer:
        """Stream the response.

        Raises
        ------
        TruncatedError
            If the target's response is incomplete.
        ConnectionError
            If the caller has closed the connection.
        """
        attempt, call = self._attempt, self._call
        headers = attempt.headers.copy() if call.claim is not None else attempt.headers
        if self._is_stale:
            headers[verdicts.STALE_HEADER] = "1"
        message, payload = attempt.message, attempt.payload
        call.phase = phases.Phase.ANSWERING
        writer = await answers.start_answer(
            call.request,
            message.code,
            message.reason,
            headers,
            keep_alive=self._keep_alive,
            is_close_delimited=self._is_answer_close_delimited,
        )
        if (
            not attempt.buffered_parts
            and not payload.total_bytes
            and not payload.is_eof()
        ):
            writer.send_headers()
        part = await attempt.read()
        while part and not attempt.is_fully_read:
            self._store(part)
            await writer.write(part)
            part = await attempt.read()
        if part:
            self._store(part)
        if self._is_response_close_delimited:
            attempt.check_end()
        await writer.write_eof(part)
        return answers.KEEP_CONNECTION if self._keep_alive else answers.CLOSE_CONNECTION

    def _store(self, part: bytes) -> None:
        if self._stored_parts is None:
            return
        self._stored_bytes += len(part)
        if self._stored_bytes <= MAX_STORED_BYTES:
            self._stored_parts.append(part)
        else:
            self._stored_parts.clear()

    def stored_answer(self) -> coltsfootchute_pb2.StoredAnswer:
        """Return the answer to be stored with the settlement of the claim."""
        kept = self._stored_bytes <= MAX_STORED_BYTES
        headers = self._attempt.headers
        return coltsfootchute_pb2.StoredAnswer(
            status=self._attempt.message.code,
            header_names=list(headers.keys()),
            header_values=list(headers.values()),
            body=b"".join(self._stored_parts) if kept else b"",
            body_kept=kept,
        )
