"""A report of a behave run that tells why each step failed."""

from behave.formatter import json


class Reasons(json.JSONFormatter):
    """JSON as behave writes it, also with the reasons of steps that broke.

    Behave leaves out those that ended in an exception which is no assertion: a red
    run that showed once said nothing of a call that was refused or came too late.
    """

    name = "reasons"
    description = "JSON with the reason of each step that failed"

    def result(self, step):
        index = self._step_index
        super().result(step)
        if step.status.has_failed() and step.error_message:
            reported = self.current_feature_element["steps"][index]["result"]
            reported["error_message"] = step.error_message
