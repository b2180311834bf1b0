from behave import given, then, when

from mangosail.platform import workers


@given("{count:d} workers and {descriptors:d} descriptors")
def fleet(context, count, descriptors):
    context.count = count
    context.descriptors = descriptors
    context.orders = workers.HttpWorkers(descriptors).order_callers


@when("orders are sent to each of them")
def send_orders(context):
    # Twice: the limit of the first callers was set when there were fewer of them.
    for _ in range(2):
        context.callers = [
            context.orders.get(f"w{number}", "127.0.0.1:9")
            for number in range(context.count)
        ]


@then("each may hold {limit:d} connections for orders")
def each(context, limit):
    assert {caller.concurrency for caller in context.callers} == {limit}


@then("polls and orders together leave {spare:d} descriptors or more free")
def spare(context, spare):
    held = sum(caller.concurrency + 1 for caller in context.callers)
    assert context.descriptors - held >= spare, context.descriptors - held
