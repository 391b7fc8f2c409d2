"""Metrics of how one VM keeps its data up to date."""

from hibiscushaven.metrics import Metrics

__all__ = ["SyncReporter"]


class SyncReporter:
    """Records the age of a VM's data, and the pulls, store reads and delays that determine it.

    Explanation
    ===========

    A VM that acts on old data is behind because a peer or the store does not respond in time,
    because it does not learn that it is behind, or because its event loop is late. Each of these
    has a series of its own.

    Examples
    ========

    >>> metrics = Metrics()
    >>> SyncReporter(metrics).pull_ended(0.4, is_successful=False)
    >>> metrics.counter("sync_pulls_total", request_class="failed").value
    1.0

    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._loop_lag = metrics.histogram("event_loop_lag_seconds")

    def data_checked(
        self,
        configuration_version: int,
        store_era: int,
        operator_age_s: float,
        servers_age_s: float,
        rank: int,
    ) -> None:
        """Record the version of the configuration, and the era and age of the data.

        :param rank: number of VMs of the region that read the store before this one.
        """
        values = {
            "configuration_version": configuration_version,
            "store_era": store_era,
            "operator_state_age_seconds": operator_age_s,
            "servers_age_seconds": servers_age_s,
            "store_reader_rank": rank,
        }
        for name, value in values.items():
            self._metrics.gauge(name).set(value)

    def loop_woke(self, lag_s: float) -> None:
        """Record by how many seconds the event loop ran a timer late."""
        self._loop_lag.record(lag_s)

    def pull_ended(self, elapsed_s: float, is_successful: bool) -> None:
        """Count a pull of newer data from a peer."""
        outcome = "received" if is_successful else "failed"
        self._metrics.counter("sync_pulls_total", request_class=outcome).add()
        self._metrics.histogram("sync_pull_seconds", request_class=outcome).record(elapsed_s)

    def store_read_ended(self, table: str, elapsed_s: float, is_successful: bool) -> None:
        """Count a read of the store; a long poll includes its wait for a change."""
        outcome = "ok" if is_successful else "failed"
        self._metrics.counter("store_reads_total", request_class=f"{table}-{outcome}").add()
        self._metrics.histogram("store_read_seconds", request_class=table).record(elapsed_s)

    def digest_received(self, is_accepted: bool) -> None:
        """Count a digest of the own region; versions are compared in accepted ones only."""
        outcome = "accepted" if is_accepted else "rejected"
        self._metrics.counter("local_digests_total", request_class=outcome).add()
