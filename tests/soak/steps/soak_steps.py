from behave import given, then
from tests.soak import oracle, run

#: Verdicts of the runs so far: both scenarios judge the same one.
RUNS = {}


@given("seed {seed:d} ran for {seconds:d} seconds with the faults")
def run_soak(context, seed, seconds):
    key = (seed, seconds, tuple(context.table.headings))
    if key not in RUNS:
        soak = run.Soak(seconds, seed, key[2], settle=10.0, gap=0.8)
        RUNS[key] = soak.run()
        print(oracle.table_of(RUNS[key]))
    context.verdicts = {v.promise.split()[0]: v for v in RUNS[key]}


@then("these promises were exercised, and held")
def held(context):
    for name in context.table.headings:
        verdict = context.verdicts[name]
        assert verdict.state == "held", (verdict.promise, verdict.violations[:3])


@then('nothing else was broken but "{name}"')
def nothing_else(context, name):
    broken = {n for n, verdict in context.verdicts.items() if verdict.violations}
    assert broken <= {name}, broken
