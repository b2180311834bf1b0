"""The check of rule TWICE, from the logs of the workers."""


def record_events(bed):
    """Append the workers' log lines to the record, and return them in order."""
    events = bed.events()
    for line in events:
        text = " ".join(f"{key}={value}" for key, value in line.items() if key != "at")
        bed.record(text, line["at"])
    return events


def count_starts_after_done(bed):
    """Record each start of a task after a run of it has ended done; return the count.

    Such an end counts if it is taken note of, then or later, unless the worker's lease
    lapsed between the two.
    """
    events = record_events(bed)
    ends = noted_ends(events)
    broken = 0
    for line in events:
        if line["event"] != "start":
            continue
        for end, noted_at in ends.get(line["task"], ()):
            if end["at"] >= line["at"]:
                continue
            broken += 1
            bed.record(
                f"TWICE: {line['task']} run {end['run']} ended done on {end['worker']}"
                f" at {end['at'] - bed.began_at:.3f}, taken note of at"
                f" {noted_at - bed.began_at:.3f}, and run {line['run']} was started on"
                f" {line['worker']} at {line['at'] - bed.began_at:.3f}"
            )
    bed.record(f"rule TWICE broken {broken} times")
    print(f"rule TWICE broken {broken} times")
    return broken


def noted_ends(events):
    """Return by task the ends `done` that were taken note of, each with the time."""
    noted, lapses = {}, {}
    for line in events:
        if line["event"] == "acknowledged":
            noted[line["worker"], line["task"], line["run"]] = line["at"]
        elif line["event"] == "lease_over":
            lapses.setdefault(line["worker"], []).append(line["at"])
    found = {}
    for line in events:
        if line["event"] != "end" or line["how"] != "done":
            continue
        noted_at = noted.get((line["worker"], line["task"], line["run"]))
        if noted_at is None:
            continue
        lapsed = [at for at in lapses.get(line["worker"], ())
                  if line["at"] <= at <= noted_at]  # fmt: skip
        if not lapsed:
            found.setdefault(line["task"], []).append((line, noted_at))
    return found
