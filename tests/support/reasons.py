"""A behave formatter that includes the error message of each failed step."""

from behave.formatter import json


class ErrorMessageFormatter(json.JSONFormatter):
    """Behave's JSON report, with the error message of every failed step.

    Behave omits the message of steps that raise anything but an AssertionError, so an
    intermittent failure by a refused or timed-out call could not be traced.
    """

    name = "reasons"
    description = "JSON with the reason of each step that failed"

    def result(self, step):
        index = self._step_index
        super().result(step)
        if step.status.has_failed() and step.error_message:
            reported = self.current_feature_element["steps"][index]["result"]
            reported["error_message"] = step.error_message
