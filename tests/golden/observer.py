"""Logs changes of the VMs' state to the transcript: owners, documents, rosters, peers."""

import asyncio

from hibiscushaven.membership import MemberState

__all__ = ["Observer"]

_INTERVAL_S = 0.05


class Observer:
    """Reads the state of the VMs at intervals and logs what changed.

    :ivar logs_documents_only: whether only documents are logged; the other states change too
        often while VMs start.
    :ivar interval_s: time between two readings.
    :ivar revision_decreases: documents that went back to an older revision on a VM.
    """

    def __init__(self, simulation) -> None:
        self._simulation = simulation
        self._last_logged: dict[tuple[str, str], str] = {}
        self._revisions: dict[tuple[str, int], dict[str, int]] = {}
        self._revisions_in_force: dict[str, int] = {}
        self._rosters: dict[str, int] = {}
        self.logs_documents_only = True
        self.interval_s = _INTERVAL_S
        self.revision_decreases: list[str] = []

    async def run(self) -> None:
        while True:
            self.observe()
            await asyncio.sleep(self.interval_s)

    def observe(self) -> None:
        self._observe_documents()
        if not self.logs_documents_only:
            self._observe_rosters()
            self._observe_owners()
            self._observe_peers()

    def _observe_owners(self) -> None:
        owners: dict[tuple[str, str], list[str]] = {}
        for vm in self._simulation.serving:
            for shard in vm.node.owners.runners:
                owners.setdefault((f"owner {shard.service}", vm.domain), []).append(vm.name)
        logged_owners = {key for key in self._last_logged if key[0].startswith("owner ")}
        for topic, domain in sorted(logged_owners | owners.keys()):
            names = _join_names(owners.get((topic, domain), ()))
            self._log_change(
                (topic, domain), domain, f"{topic.removeprefix('owner ')} owned by {names}"
            )

    def _observe_documents(self) -> None:
        for vm in self._simulation.serving:
            known = self._revisions.setdefault((vm.name, vm.number), {})
            for service, revision in vm.node.catalog.revisions.items():
                if revision < known.get(service, 0):
                    self.revision_decreases.append(
                        f"{service} at {vm.name}: {known[service]} to {revision}"
                    )
                known[service] = revision
        serving = [self._revisions[(vm.name, vm.number)] for vm in self._simulation.serving]
        for service in sorted({name for known in serving for name in known}):
            lowest_revision = min(known.get(service, 0) for known in serving)
            if lowest_revision > self._revisions_in_force.get(service, 0):
                self._revisions_in_force[service] = lowest_revision
                self._simulation.log(
                    service, f"revision {lowest_revision} in force on all {len(serving)} VMs"
                )

    def _observe_rosters(self) -> None:
        rosters = sorted(
            ((vm.domain, vm.node.slots.roster) for vm in self._simulation.serving),
            key=lambda item: (item[0], item[1].version),
        )
        for domain, roster in rosters:
            if roster.version > self._rosters.get(domain, 0):
                self._rosters[domain] = roster.version
                names = _join_names(member.vm for member in roster.members)
                self._log_change(("roster", domain), domain, f"roster {roster.version}: {names}")

    def _observe_peers(self) -> None:
        """Log the peers that a VM considers down and the failure domains that it cannot reach."""
        domains = {item.name for item in self._simulation.deployment.failure_domains}
        for vm in self._simulation.serving:
            if not vm.process.is_running:
                continue
            members = vm.node.membership.view.members.values()
            down = _join_names(item.vm for item in members if item.state is MemberState.DOWN)
            self._log_change(("down", vm.name), vm.name, f"counts as down: {down}", "none" in down)
            lost = _join_names(domains - vm.node.topology.reachable_domains())
            self._log_change(("lost", vm.name), vm.name, f"does not reach: {lost}", "none" in lost)

    def _log_change(
        self, key: tuple[str, str], source: str, text: str, is_usual: bool = False
    ) -> None:
        """Log a state if it changed.

        :param is_usual: do not log the state if it is the first one under the key.
        """
        if self._last_logged.get(key) != text:
            if key in self._last_logged or not is_usual:
                self._simulation.log(source, text)
            self._last_logged[key] = text


def _join_names(names) -> str:
    return ", ".join(sorted(names)) or "none"
