"""Clock that tests set."""


class VirtualClock:
    """Clock that stands still until a test moves ``time``."""

    def __init__(self, time=100.0):
        self.time = time

    def now(self):
        return self.time

    def unix(self):
        return self.time
