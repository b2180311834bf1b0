"""The platform's metadata store as a table whose changes can be followed.

A key `kind/shard/rest` is the row `rest` in part `shard` of table `kind`. All keys
of a transaction are of one shard, as the platform takes no others.
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

#: Seconds after which a write is given up, and then sent again on a new
#: connection; three slow answers of the store.
WRITE_TIMEOUT_S = 1.3
#: Seconds after which a reading is given up.
READ_TIMEOUT_S = 1.3
#: Connections for calls, for requests that wait for changes, and for whole shards.
CONNECTIONS = 16
FEED_CONNECTIONS = 4
BULK_CONNECTIONS = 8
#: Bytes of an answer beside the values of its rows, which are base64: 4 for 3.
ROW_OVERHEAD_BYTES = 1000
#: Rows that one reading asks for; the platform gives no more.
PAGE_ROWS = 500
#: Follows every key that begins with the text before it.
AFTER_PREFIX = "\x7f"

OK = 200
CONFLICT = 412
HISTORY_LOST = 410
#: Answers that say that nothing was done.
REFUSALS = frozenset({400, 403, 429, 503})


class Store:
    """Rows in the platform's store; implements `ports.Rows`."""

    def __init__(self, address: str) -> None:
        self.caller = http_caller.Caller(address, CONNECTIONS)
        #: Requests that wait for changes, on connections of their own.
        self.feed_caller = http_caller.Caller(address, FEED_CONNECTIONS)
        #: Readings of whole shards, on connections of their own. On a narrow link they
        #: take seconds; the renewal of the lease waited for a connection meanwhile, and
        #: another instance took it.
        self.bulk_caller = http_caller.Caller(address, BULK_CONNECTIONS)
        #: Reads no more shards at a time than there are connections: the time limit of
        #: a reading runs while it waits for one.
        self.readers = gevent.pool.Pool(BULK_CONNECTIONS)

    def read(
        self, keys: t.Sequence[str]
    ) -> result.Result[dict[str, table.Row], errors.Unavailable]:
        """Return the rows of `keys`, which are of one kind and shard, that exist."""
        kind, shard, _ = split_key(keys[0])
        names = sorted(split_key(key)[2] for key in keys)
        query = {"table": kind, "part": shard, "from": names[0]}
        if len(names) == 1:
            query["limit"] = "1"
        else:
            query["target"] = names[-1] + AFTER_PREFIX
        found = self._read_page(query, self.caller)
        if isinstance(found, result.Err):
            return found
        wanted = set(keys)
        rows = (decode_row(row) for row in found.ok_value.rows)
        return result.Ok({row.key: row for row in rows if row.key in wanted})

    def scan(
        self, prefix: str, after: str = "", limit: int = PAGE_ROWS
    ) -> result.Result[list[table.Row], errors.Unavailable]:
        """Return at most `limit` rows under `prefix`, by key, past key `after`."""
        kind, shard, name = split_key(prefix)
        first = split_key(after)[2] + "\x01" if after else name
        query = {"table": kind, "part": shard, "from": first, "limit": str(limit)}
        if name:
            query["target"] = name + AFTER_PREFIX
        found = self._read_page(query, self.caller)
        return found.map(lambda page: [decode_row(row) for row in page.rows])

    def read_all(
        self, prefix: str, on_data: ports.OnData = ports.ignore_data
    ) -> result.Result[ports.Changes, errors.Unavailable]:
        """Return every row under `prefix` and a version to follow changes from.

        A prefix without a shard stands for all of them. The version is that of the
        first page: what changes between two pages is found again by following from
        there.
        """
        kind, _, shard = prefix.rstrip("/").partition("/")
        if shard or prefix.endswith("//"):
            return self.readers.spawn(self._read_shard, kind, shard, on_data).get()
        return self._read_shards(kind, on_data)

    def _read_shards(
        self, kind: str, on_data: ports.OnData
    ) -> result.Result[ports.Changes, errors.Unavailable]:
        """Return the rows of all shards, which are read at the same time."""
        found = self._list_shards(kind)
        if isinstance(found, result.Err):
            return found
        readers = [
            self.readers.spawn(self._read_shard, kind, shard, on_data)
            for shard in found.ok_value.parts
        ]
        gevent.joinall(readers)
        rows: list[table.Row] = []
        # Rows of shards that came up since the list was read are found by following.
        version = found.ok_value.ver
        for reader in readers:
            page = reader.get()
            if isinstance(page, result.Err):
                return page
            rows.extend(page.ok_value.rows)
        return result.Ok(ports.Changes(tuple(rows), (), version))

    def _list_shards(self, kind: str) -> result.Result[wire.Parts, errors.Unavailable]:
        query = urllib.parse.urlencode({"table": kind})
        answer = self.caller.call(
            "GET", "/-/rows-parts?" + query, timeout=READ_TIMEOUT_S
        )
        return decode_answer(answer, wire.Parts)

    def _read_shard(
        self, kind: str, shard: str, on_data: ports.OnData
    ) -> result.Result[ports.Changes, errors.Unavailable]:
        query = {"table": kind, "part": shard, "limit": str(PAGE_ROWS)}
        rows: list[table.Row] = []
        version = None
        while True:
            found = self._read_page(query, self.bulk_caller, on_data)
            if isinstance(found, result.Err):
                return found
            page = found.ok_value
            rows.extend(decode_row(row) for row in page.rows)
            version = page.ver if version is None else version
            if not page.more_pages or not page.rows:
                return result.Ok(ports.Changes(tuple(rows), (), version))
            query["from"] = page.rows[-1].key + "\x01"

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
        """Return what changed under `prefix` after a version, waiting for a change."""
        kind, _, shard = prefix.rstrip("/").partition("/")
        every = not shard and not prefix.endswith("//")
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
            row for row in page.ok_value.rows if every or row.part == shard
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
            # The status is certain, the version is not known: as good as lost.
            log.error("answer of the store unreadable", error=str(exc))
            return result.Err(errors.Uncertain("unreadable"))
        if reply.status in REFUSALS:
            if reply.status in (400, 403):
                log.error(
                    "store refused", status=reply.status, body=str(reply.body[:300])
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
    """Return what is in an answer, or why there is nothing."""
    if isinstance(answer, result.Err):
        return result.Err(errors.Unavailable(answer.err_value.reason))
    reply = answer.ok_value
    if reply.status != OK:
        return result.Err(errors.Unavailable(f"status {reply.status}"))
    try:
        return result.Ok(codec.from_json(reply.body, kind))
    except codec.DecodeError as exc:
        log.error("answer of the store unreadable", error=str(exc))
        return result.Err(errors.Unavailable("unreadable"))


def split_key(key: str) -> tuple[str, str, str]:
    """Return kind, shard and the rest of a key."""
    kind, shard, name = key.split("/", 2)
    return kind, shard, name


def latest_changes(rows: t.Iterable[wire.Row]) -> list[wire.Row]:
    """Return the last change of each row.

    One answer can tell that a row was dropped and that it came back. Told apart
    from the rows, the drop would seem to be the later one: workers whose entries
    lapsed during an outage stayed unlisted for good.
    """
    return list({key_of(row): row for row in rows}.values())


def key_of(row: wire.Row) -> str:
    """Return the key of a row as the rest of the program names it."""
    return f"{row.table}/{row.part}/{row.key}"


def decode_row(row: wire.Row) -> table.Row:
    """Return a row of the store as the rest of the program knows it."""
    return table.Row(key_of(row), decode_value(row.value), row.ver)


def decode_value(value: str) -> str:
    """Return the text of a row's value, or an empty one if it holds none.

    Other writers may put any bytes into a row. When they raised an error, one row ended
    the following of all of them, and no instance could lead any more. No reader takes
    the empty text for a message.
    """
    try:
        return base64.b64decode(value, validate=True).decode()
    except ValueError:
        # Both base64 and UTF-8 fail with one; who reads the row counts and logs it.
        return ""


def to_message(transaction: table.Transaction) -> wire.Transaction:
    """Return a transaction as the store takes it."""
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
    """Return which row had another version than the transaction expected."""
    found = codec.from_json(body, wire.Page)
    versions = {key_of(row): row.ver for row in found.rows}
    for check in transaction.checks:
        if versions.get(check.key, table.ABSENT) != check.version:
            return errors.Conflict(check.key)
    return errors.Conflict(transaction.checks[0].key if transaction.checks else "")
