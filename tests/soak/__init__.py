"""Long randomised runs of real processes, judged by what the stand-ins logged."""
