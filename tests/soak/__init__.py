"""Randomised fault-injection runs of real processes, checked by the stand-ins' logs."""
