"""Optional decisions of the scheduler, each off unless a deployment asks for it."""

import dataclasses

from mangosail import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Which optional decisions the scheduler makes.

    The adapter of a platform derives them from the settings of the deployment::

        scheduler.Scheduler(..., options=options.Options(gather_jobs=True))
    """

    #: Tasks are assigned to workers in advance, and start there while the store does
    #: not answer.
    assign_ahead: bool = False
    #: The tasks of a job gather in one data centre, so that fewer jobs are affected by
    #: the loss of one.
    gather_jobs: bool = False
    #: Steps that allow it get a second run of a task that is stuck.
    copy_tasks: bool = False
    #: Durations are also estimated from the progress of running tasks.
    estimate_from_progress: bool = False
    #: A leader that the store does not answer asks a peer to take the lease.
    hand_over_lease: bool = False
    #: Jobs that would end too late for their callers are refused.
    refuse_late_jobs: bool = False

    def without(self, names: str) -> "Options":
        """Return the options with some switched off, given as a comma-separated list.

        Raises `errors.ConfigurationError` for a name that is none::

            >>> Options(gather_jobs=True).without("gather_jobs").gather_jobs
            False
        """
        disabled = [name.strip() for name in names.split(",") if name.strip()]
        known = [field.name for field in dataclasses.fields(self)]
        for name in disabled:
            if name not in known:
                raise errors.ConfigurationError(
                    f"{name!r} is no option; expected one of {', '.join(known)}"
                )
        return dataclasses.replace(self, **dict.fromkeys(disabled, False))


#: All options off.
NONE = Options()
