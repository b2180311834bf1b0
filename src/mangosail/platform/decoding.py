"""Decodes callers' jobs and the operator's configuration."""

import result

from mangosail import codec, resources
from mangosail import limits as request_limits
from mangosail.intake import errors
from mangosail.platform import wire
from mangosail.scheduler import messages, sizes

#: Maximum size of a job's spec.
MAX_SPEC_BYTES = 4000
#: Maximum number of tasks of one job, over all its occurrences; bounds memory, and is
#: far above what callers submit.
MAX_TASKS = 5000
#: Number of digits of a job id.
ID_DIGITS = 16


def decode_job(
    body: bytes,
    job_id: str,
    queue: messages.Queue,
    wall: float,
    catalog_version: int = 0,
) -> result.Result[messages.Job, errors.Invalid]:
    """Return the job that a caller submits, or what is wrong with it.

    `catalog_version` is that of the configuration which has the queue.
    """
    if len(job_id) != ID_DIGITS or not all(
        c in "0123456789abcdefABCDEF" for c in job_id
    ):
        return result.Err(errors.Invalid(f"job id: expected {ID_DIGITS} hex digits"))
    try:
        found = codec.from_json(body, wire.JobBody)
    except codec.DecodeError as exc:
        return result.Err(errors.Invalid(str(exc)))
    fault = find_fault(found)
    if fault:
        return result.Err(errors.Invalid(fault))
    job = messages.Job(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        spec=found.spec,
        steps=tuple(to_step(step) for step in found.steps),
        accepted_at=wall,
        priority=queue.priority,
        attempts=queue.attempts,
        occurrences=max(int(found.repeat_count), 1),
        first_due=found.first_run_ms / 1000 if found.repeat_count else 0.0,
        interval=found.interval_ms / 1000,
        needs_advice=queue.needs_advice,
        catalog_version=catalog_version,
    )
    fault = sizes.rejection_reason(job)
    return result.Err(errors.Invalid(fault)) if fault else result.Ok(job)


def find_fault(body: wire.JobBody) -> str:
    """Return the first fault of a job and its location; empty if there is none."""
    if len(body.spec.encode()) > MAX_SPEC_BYTES:
        return f"spec: more than {MAX_SPEC_BYTES} bytes"
    if not body.steps:
        return "steps: expected at least one"
    if body.repeat_count < 0 or body.interval_ms < 0:
        return "repeat_count, interval_ms: expected no negative number"
    for number, step in enumerate(body.steps):
        fault = find_step_fault(step, number)
        if fault:
            return f"steps[{number}].{fault}"
    tasks = sum(step.count for step in body.steps) * max(int(body.repeat_count), 1)
    if tasks > MAX_TASKS:
        return f"steps: {tasks} tasks, at most {MAX_TASKS}"
    return ""


def find_step_fault(step: wire.JobStep, number: int) -> str:
    """Return the first fault of a step; empty if there is none."""
    if step.count < 1:
        return "count: expected at least 1"
    if min(step.cpu, step.mem_mb, step.gpu, step.estimate_ms, step.target_ms) < 0:
        return "cpu, mem_mb, gpu, estimate_ms, target_ms: expected no negative number"
    if min(step.anti_affinity, step.may_miss) < 0:
        return "anti_affinity, may_miss: expected no negative number"
    if any(not 0 <= earlier < number for earlier in step.after):
        return "after: expected numbers of earlier steps"
    return ""


def to_step(step: wire.JobStep) -> messages.Step:
    """Convert a step to the units of the scheduler."""
    return messages.Step(
        count=step.count,
        need=resources.Resources(
            cpus=step.cpu / wire.MILLICORES_PER_CORE,
            memory_gb=step.mem_mb / wire.MB_PER_GB,
            accelerators=step.gpu,
        ),
        estimate=step.estimate_ms / 1000,
        after=tuple(step.after),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.constraints,
        data_rack=step.affinity,
        most_per_worker=step.anti_affinity,
        copies_allowed=step.allow_duplicates,
        continuous=step.long_running,
        image=step.image,
        latency_target=step.target_ms,
        best_effort=step.fills,
        may_miss=step.may_miss,
    )


def decode_catalog(text: str) -> messages.Catalog | None:
    """Return the operator's configuration; None if it cannot be decoded."""
    try:
        found = codec.from_json(text, wire.Config, strict=False)
    except codec.DecodeError:
        return None
    return messages.Catalog(
        version=found.version,
        queues=tuple(to_queue(route) for route in found.routes),
        services=tuple(
            messages.Service(service.name, service.admission_check)
            for service in found.services
        ),
        limits=request_limits.Limits(
            head_bytes=found.limits.max_header_bytes,
            body_bytes=found.limits.max_body_bytes,
            headers_timeout=found.limits.header_timeout_ms / 1000,
            idle_timeout=found.limits.idle_timeout_ms / 1000,
        ),
    )


def to_queue(route: wire.Route) -> messages.Queue:
    """Convert a route to the queue that it leads to."""
    return messages.Queue(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        attempts=route.attempts,
        timeout=route.timeout_ms / 1000,
        stretch=route.stretch,
        target=route.target_duration_ms / 1000,
        needs_advice=route.advice is not None,
    )
