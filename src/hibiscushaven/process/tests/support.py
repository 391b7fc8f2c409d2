"""A manually set clock for tests."""


class VirtualClock:
    """Clock that returns ``time``, which only the test changes."""

    def __init__(self, time=100.0):
        self.time = time

    def now(self):
        return self.time

    def unix(self):
        return self.time
