"""Access to the rows of jobs in the table."""

import dataclasses

import result

from mangosail import codec
from mangosail.jobs import errors, messages
from mangosail.platform import errors as platform_errors
from mangosail.platform import table
from mangosail.work import messages as work_messages
from mangosail.work import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """A job as stored in the table; `version` is that of its state row."""

    row: messages.JobRow
    state: messages.JobState
    version: int


class Records:
    """Reads and writes jobs; each write is conditional on the version it replaces."""

    def __init__(self, rows: table.Table) -> None:
        self.rows = rows

    def create(
        self, row: messages.JobRow, state: messages.JobState
    ) -> result.Result[StoredJob, errors.SubmitError]:
        """Store a new job, or return the stored one if it is the same."""
        job = row.job
        keys = keys_of(row)
        transaction = table.Transaction(
            checks=tuple(table.Check(key, table.ABSENT) for key in keys),
            writes=(
                table.Write(keys[0], codec.to_json(row)),
                table.Write(keys[1], codec.to_json(state)),
            ),
        )
        committed = self.rows.commit(transaction)
        if isinstance(committed, result.Ok):
            return result.Ok(StoredJob(row, state, committed.ok_value))
        if isinstance(committed.err_value, platform_errors.Unavailable):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        found = self.find(job.team, job.job_id)
        if isinstance(found, result.Err):
            # Absence proves nothing: the write may still be in flight.
            return result.Err(errors.Undecided(outcomes.RETRY_AFTER_S))
        if found.ok_value.row.digest != row.digest:
            return result.Err(errors.Conflict(job.job_id))
        return found

    def find(
        self, team: str, job_id: str
    ) -> result.Result[StoredJob, errors.ReadError]:
        """Return a job of `team`."""
        key = messages.job_key(team, job_id)
        read = self.rows.read([key])
        if isinstance(read, result.Err):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        if key not in read.ok_value:
            return result.Err(errors.UnknownJob(job_id))
        row = codec.from_json(read.ok_value[key].value, messages.JobRow)
        states = self.find_states([row])
        if isinstance(states, result.Err):
            return states
        if states.ok_value:
            return result.Ok(states.ok_value[0])
        # The job ended between the two reads, so its row has the final state by now.
        return self.find(team, job_id)

    def page(
        self, team: str, after: str, limit: int
    ) -> result.Result[list[StoredJob], errors.StoreUnavailable]:
        """Return up to `limit` jobs of `team` in order of id, after the id `after`."""
        prefix = messages.job_key(team, "")
        scanned = self.rows.scan(prefix, prefix + after if after else "", limit)
        if isinstance(scanned, result.Err):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        rows = [codec.from_json(r.value, messages.JobRow) for r in scanned.ok_value]
        return self.find_states(rows)

    def find_states(
        self, rows: list[messages.JobRow]
    ) -> result.Result[list[StoredJob], errors.StoreUnavailable]:
        """Return the jobs of `rows` with their states; one just ended is left out."""
        keys = [keys_of(row)[1] for row in rows if row.final is None]
        state_rows: dict[str, table.Row] = {}
        if keys:
            read = self.rows.read(keys)
            if isinstance(read, result.Err):
                return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
            state_rows = read.ok_value
        found: list[StoredJob] = []
        for row in rows:
            if row.final is not None:
                found.append(StoredJob(row, row.final, table.ABSENT))
                continue
            state = state_rows.get(keys_of(row)[1])
            if state is not None:
                decoded = codec.from_json(state.value, messages.JobState)
                found.append(StoredJob(row, decoded, state.version))
        return result.Ok(found)

    def find_work_rows(
        self, keys: list[str]
    ) -> result.Result[list[work_messages.WorkRow], errors.StoreUnavailable]:
        """Return the work rows under `keys` that exist."""
        read = self.rows.read(keys)
        if isinstance(read, result.Err):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        rows = read.ok_value.values()
        return result.Ok(
            [codec.from_json(row.value, work_messages.WorkRow) for row in rows]
        )

    def write(
        self, found: StoredJob, state: messages.JobState
    ) -> result.Result[StoredJob, platform_errors.CommitError]:
        """Replace the state of a running job."""
        key = keys_of(found.row)[1]
        transaction = table.Transaction(
            checks=(table.Check(key, found.version),),
            writes=(table.Write(key, codec.to_json(state)),),
        )
        committed = self.rows.commit(transaction)
        return committed.map(lambda version: StoredJob(found.row, state, version))

    def write_end(
        self, found: StoredJob, state: messages.JobState
    ) -> result.Result[StoredJob, platform_errors.CommitError]:
        """Write the final state of a job and delete its state row."""
        row = dataclasses.replace(found.row, final=state)
        job_key, state_key = keys_of(row)
        transaction = table.Transaction(
            checks=(table.Check(state_key, found.version),),
            writes=(
                table.Write(job_key, codec.to_json(row)),
                table.Write(state_key, None),
            ),
        )
        committed = self.rows.commit(transaction)
        return committed.map(lambda _: StoredJob(row, state, table.ABSENT))


def keys_of(row: messages.JobRow) -> tuple[str, str]:
    """Return the keys of a job's row and of its state row."""
    job = row.job
    return (
        messages.job_key(job.team, job.job_id),
        messages.state_key(row.data_centre, job.team, job.job_id),
    )
