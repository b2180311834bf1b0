"""The scheduler: jobs of steps on shared workers, led by one instance at a time."""
