"""The platform's metadata store as a table whose changes can be watched.

A key `kind/shard/rest` is the row `rest` in part `shard` of table `kind`. All keys
of a transaction are in one shard, as the platform accepts no others.
"""

import base64
import typing as t
import urllib.parse

import gevent
import gevent.pool
import logbook
import result

from mangosail import codec
from mangosail.platform import caller as http_caller
from mangosail.platform import errors, table, wire
from mangosail.scheduler import ports

log = logbook.Logger("store")

T = t.TypeVar("T")

#: Timeout in seconds after which a write is sent again on a new connection: as long as
#: three slow answers of the store.
WRITE_TIMEOUT_S = 1.3
#: Timeout of a read, in seconds.
READ_TIMEOUT_S = 1.3
#: Connections for calls, for feeds of changes, and for reads of whole shards.
CONNECTIONS = 16
FEED_CONNECTIONS = 4
BULK_CONNECTIONS = 8
#: Bytes of an answer besides the values of its rows, whose base64 takes 4 bytes for 3.
ROW_OVERHEAD_BYTES = 1000
#: Rows requested per read; the platform returns no more, and fewer if they are long.
PAGE_ROWS = 500
#: Shards in one answer from which there may be more.
PAGE_SHARDS = 1000
#: Appended to a prefix, sorts after every key with that prefix.
AFTER_PREFIX = "\x7f"
#: Appended to a key, sorts right after it.
AFTER_KEY = "\x01"

OK = 200
CONFLICT = 412
HISTORY_LOST = 410
#: Statuses which mean that nothing was done.
REFUSALS = frozenset({400, 403, 429, 503})


class Store:
    """Rows in the platform's store; implements `ports.WatchableTable`."""

    def __init__(self, address: str) -> None:
        self.caller = http_caller.Caller(address, CONNECTIONS)
        #: Requests that wait for changes, on separate connections.
        self.feed_caller = http_caller.Caller(address, FEED_CONNECTIONS)
        #: Reads of whole shards, on separate connections. On a slow link they take
        #: seconds; on shared connections, the lease renewal had to wait for one, and
        #: another instance took the lease.
        self.bulk_caller = http_caller.Caller(address, BULK_CONNECTIONS)
        #: Limits concurrent reads of shards to the number of connections, as the
        #: timeout of a read runs while it waits for one.
        self.readers = gevent.pool.Pool(BULK_CONNECTIONS)

    def read(
        self, keys: t.Sequence[str]
    ) -> result.Result[dict[str, table.Row], errors.Unavailable]:
        """Return the existing rows of `keys`, which are of one kind and shard."""
        kind, shard, _ = split_key(keys[0])
        names = sorted(split_key(key)[2] for key in keys)
        query = {"table": kind, "part": shard, "from": names[0]}
        limit = 1 if len(names) == 1 else None
        if limit is None:
            query["target"] = names[-1] + AFTER_PREFIX
        found = self._read_range(query, self.caller, limit=limit)
        wanted = set(keys)
        return found.map(
            lambda page: {row.key: row for row in page.rows if row.key in wanted}
        )

    def scan(
        self, prefix: str, after: str = "", limit: int = PAGE_ROWS
    ) -> result.Result[list[table.Row], errors.Unavailable]:
        """Return up to `limit` rows under `prefix` with keys past `after`, by key.

        There are fewer only if there are no more.
        """
        kind, shard, name = split_key(prefix)
        first = split_key(after)[2] + AFTER_KEY if after else name
        query = {"table": kind, "part": shard, "from": first}
        if name:
            query["target"] = name + AFTER_PREFIX
        found = self._read_range(query, self.caller, limit=limit)
        return found.map(lambda page: list(page.rows))

    def read_all(
        self, prefix: str, on_data: ports.OnData = ports.ignore_data
    ) -> result.Result[ports.Changes, errors.Unavailable]:
        """Return every row under `prefix` and the version to read changes from.

        A prefix without a shard covers all shards. The version is that of the first
        page, so changes made between two pages are among those read from there.
        """
        kind, _, shard = prefix.rstrip("/").partition("/")
        if shard or prefix.endswith("//"):
            reader = self.readers.spawn(self._read_shard, kind, shard, on_data)
            try:
                return reader.get()
            finally:
                # If this read was cancelled, its answer would still fill the link.
                reader.kill(block=False)
        return self._read_shards(kind, on_data)

    def _read_shards(
        self, kind: str, on_data: ports.OnData
    ) -> result.Result[ports.Changes, errors.Unavailable]:
        """Return the rows of all shards, which are read concurrently."""
        found = self._list_shards(kind)
        if isinstance(found, result.Err):
            return found
        readers = [
            self.readers.spawn(self._read_shard, kind, shard, on_data)
            for shard in found.ok_value.parts
        ]
        gevent.joinall(readers)
        rows: list[table.Row] = []
        # Rows of shards created after the list was read are found in the changes.
        version = found.ok_value.ver
        for reader in readers:
            page = reader.get()
            if isinstance(page, result.Err):
                return page
            rows.extend(page.ok_value.rows)
        return result.Ok(ports.Changes(tuple(rows), (), version))

    def _list_shards(self, kind: str) -> result.Result[wire.Parts, errors.Unavailable]:
        """Return all shards, and the version of the first page of them."""
        shards: list[str] = []
        version = None
        query = {"table": kind}
        while True:
            path = "/-/rows-parts?" + urllib.parse.urlencode(query)
            answer = self.caller.call("GET", path, timeout=READ_TIMEOUT_S)
            found = decode_answer(answer, wire.Parts)
            if isinstance(found, result.Err):
                return found
            page = found.ok_value
            shards.extend(page.parts)
            version = page.ver if version is None else version
            if len(page.parts) < PAGE_SHARDS:
                return result.Ok(wire.Parts(shards, version))
            query["after"] = page.parts[-1]

    def _read_shard(
        self, kind: str, shard: str, on_data: ports.OnData
    ) -> result.Result[ports.Changes, errors.Unavailable]:
        query = {"table": kind, "part": shard}
        return self._read_range(query, self.bulk_caller, on_data)

    def _read_range(
        self,
        query: dict[str, str],
        caller: http_caller.Caller,
        on_data: ports.OnData | None = None,
        limit: int | None = None,
    ) -> result.Result[ports.Changes, errors.Unavailable]:
        """Return the rows of a range, up to `limit`, page by page.

        The version is that of the first page.
        """
        rows: list[table.Row] = []
        version = None
        while True:
            left = PAGE_ROWS if limit is None else min(limit - len(rows), PAGE_ROWS)
            query = {**query, "limit": str(left)}
            found = self._read_page(query, caller, on_data)
            if isinstance(found, result.Err):
                return found
            page = found.ok_value
            rows.extend(decode_row(row) for row in page.rows)
            version = page.ver if version is None else version
            is_last = not page.more_pages or not page.rows
            if is_last or (limit is not None and len(rows) >= limit):
                return result.Ok(ports.Changes(tuple(rows), (), version))
            query["from"] = page.rows[-1].key + AFTER_KEY

    def changes(
        self,
        prefix: str,
        after: int,
        wait: float,
        on_data: ports.OnData = ports.ignore_data,
        max_bytes: int | None = None,
    ) -> result.Result[
        ports.Changes, errors.Unavailable | ports.HistoryLost | ports.TooLong
    ]:
        """Return changes under `prefix` after a version, or wait for the first one."""
        kind, _, shard = prefix.rstrip("/").partition("/")
        all_shards = not shard and not prefix.endswith("//")
        query = {"table": kind, "after": str(after), "wait_ms": str(int(wait * 1000))}
        path = "/-/rows-feed?" + urllib.parse.urlencode(query)
        caller = self.feed_caller if wait else self.caller
        if max_bytes is not None:
            max_bytes = max_bytes * 4 // 3 + ROW_OVERHEAD_BYTES
        answer = caller.call(
            "GET",
            path,
            timeout=wait + READ_TIMEOUT_S,
            on_data=on_data,
            max_bytes=max_bytes,
        )
        if isinstance(answer, result.Err) and isinstance(
            answer.err_value, errors.TooLong
        ):
            return result.Err(ports.TooLong())
        if isinstance(answer, result.Ok) and answer.ok_value.status == HISTORY_LOST:
            return result.Err(ports.HistoryLost())
        page = decode_answer(answer, wire.Page)
        if isinstance(page, result.Err):
            return page
        rows = latest_changes(
            row for row in page.ok_value.rows if all_shards or row.part == shard
        )
        return result.Ok(
            ports.Changes(
                tuple(decode_row(row) for row in rows if not row.tombstone),
                tuple(key_of(row) for row in rows if row.tombstone),
                page.ok_value.ver,
            )
        )

    def commit(
        self, transaction: table.Transaction
    ) -> result.Result[int, errors.CommitError]:
        """Apply `transaction` and return the version that its writes got."""
        body = codec.to_json(to_message(transaction)).encode()
        answer = self.caller.call("POST", "/-/rows-tx", body, timeout=WRITE_TIMEOUT_S)
        if isinstance(answer, result.Err):
            return answer
        reply = answer.ok_value
        try:
            if reply.status == OK:
                return result.Ok(codec.from_json(reply.body, wire.Committed).ver)
            if reply.status == CONFLICT:
                return result.Err(find_conflict(transaction, reply.body))
        except codec.DecodeError as exc:
            # The status is known but not the content, so the outcome is uncertain.
            log.error("store answer cannot be decoded", error=str(exc))
            return result.Err(errors.Uncertain("unreadable"))
        if reply.status in REFUSALS:
            if reply.status in (400, 403):
                log.error(
                    "store refused request",
                    status=reply.status,
                    body=str(reply.body[:300]),
                )
            return result.Err(errors.Unavailable(f"status {reply.status}"))
        return result.Err(errors.Uncertain(f"status {reply.status}"))

    def _read_page(
        self,
        query: dict[str, str],
        caller: http_caller.Caller,
        on_data: ports.OnData | None = None,
    ) -> result.Result[wire.Page, errors.Unavailable]:
        path = "/-/rows-get?" + urllib.parse.urlencode(query)
        answer = caller.call("GET", path, timeout=READ_TIMEOUT_S, on_data=on_data)
        return decode_answer(answer, wire.Page)


def decode_answer(
    answer: result.Result[http_caller.Reply, http_caller.CallError], kind: type[T]
) -> result.Result[T, errors.Unavailable]:
    """Decode an answer, or return why there is nothing to decode."""
    if isinstance(answer, result.Err):
        return result.Err(errors.Unavailable(answer.err_value.reason))
    reply = answer.ok_value
    if reply.status != OK:
        return result.Err(errors.Unavailable(f"status {reply.status}"))
    try:
        return result.Ok(codec.from_json(reply.body, kind))
    except codec.DecodeError as exc:
        log.error("store answer cannot be decoded", error=str(exc))
        return result.Err(errors.Unavailable("unreadable"))


def split_key(key: str) -> tuple[str, str, str]:
    """Split a key into kind, shard and the rest."""
    kind, shard, name = key.split("/", 2)
    return kind, shard, name


def latest_changes(rows: t.Iterable[wire.Row]) -> list[wire.Row]:
    """Return the last change of each row.

    One answer may report that a row was removed and that it was written again. If
    removals were returned separately, the removal would appear to be the later change:
    workers whose entries expired during an outage stayed unlisted for good.
    """
    return list({key_of(row): row for row in rows}.values())


def key_of(row: wire.Row) -> str:
    """Return the key of a row in the form used by the rest of the program."""
    return f"{row.table}/{row.part}/{row.key}"


def decode_row(row: wire.Row) -> table.Row:
    """Convert a row of the store to the form used by the rest of the program."""
    return table.Row(key_of(row), decode_value(row.value), row.ver)


def decode_value(value: str) -> str:
    """Return the text of a row's value, or an empty one if it cannot be decoded.

    Other writers may store any bytes in a row. When these raised an error, one row
    stopped the watch on all rows, and no instance could lead any more. No reader
    accepts the empty text as a message.
    """
    try:
        return base64.b64decode(value, validate=True).decode()
    except ValueError:
        # Invalid base64 or UTF-8; the reader of the row counts and logs the error.
        return ""


def to_message(transaction: table.Transaction) -> wire.Transaction:
    """Convert a transaction to the format of the store."""
    message = wire.Transaction()
    for check in transaction.checks:
        kind, shard, name = split_key(check.key)
        message.expected_revision.append(
            wire.Expected(kind, shard, name, check.version)
        )
    for write in transaction.writes:
        kind, shard, name = split_key(write.key)
        if write.value is None:
            message.remove.append(wire.Removal(kind, shard, name))
        else:
            value = base64.b64encode(write.value.encode()).decode()
            message.puts.append(wire.Put(kind, shard, name, value))
    return message


def find_conflict(transaction: table.Transaction, body: bytes) -> errors.Conflict:
    """Find a row that had another version than the transaction expected."""
    found = codec.from_json(body, wire.Page)
    versions = {key_of(row): row.ver for row in found.rows}
    for check in transaction.checks:
        if versions.get(check.key, table.ABSENT) != check.version:
            return errors.Conflict(check.key)
    return errors.Conflict(transaction.checks[0].key if transaction.checks else "")
