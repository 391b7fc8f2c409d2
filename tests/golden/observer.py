"""What a transcript tells of the VMs' state: ownership, documents, rosters, peers."""

import asyncio

from hibiscushaven.membership import MemberState

__all__ = ["Observer"]

_STEP_S = 0.05


class Observer:
    """Looks at the VMs now and then, and logs what changed.

    :ivar is_quiet: whether only documents are logged; while VMs start, the rest is noise.
    :ivar step_s: time between two looks.
    :ivar reverts: documents whose revision went back on a VM.
    """

    def __init__(self, world) -> None:
        self._world = world
        self._known: dict[tuple[str, str], str] = {}
        self._revisions: dict[tuple[str, int], dict[str, int]] = {}
        self._in_force: dict[str, int] = {}
        self._rosters: dict[str, int] = {}
        self.is_quiet = True
        self.step_s = _STEP_S
        self.reverts: list[str] = []

    async def run(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(self.step_s)

    def look(self) -> None:
        self._look_at_documents()
        if not self.is_quiet:
            self._look_at_rosters()
            self._look_at_owners()
            self._look_at_peers()

    def _look_at_owners(self) -> None:
        owners: dict[tuple[str, str], list[str]] = {}
        for vm in self._world.serving:
            for shard in vm.node.owners.runners:
                owners.setdefault((f"owner {shard.service}", vm.domain), []).append(vm.name)
        before = {key for key in self._known if key[0].startswith("owner ")}
        for topic, domain in sorted(before | owners.keys()):
            names = _names(owners.get((topic, domain), ()))
            self._note((topic, domain), domain, f"{topic.removeprefix('owner ')} owned by {names}")

    def _look_at_documents(self) -> None:
        for vm in self._world.serving:
            known = self._revisions.setdefault((vm.name, vm.number), {})
            for service, revision in vm.node.catalog.revisions.items():
                if revision < known.get(service, 0):
                    self.reverts.append(f"{service} at {vm.name}: {known[service]} to {revision}")
                known[service] = revision
        serving = [self._revisions[(vm.name, vm.number)] for vm in self._world.serving]
        for service in sorted({name for known in serving for name in known}):
            least = min(known.get(service, 0) for known in serving)
            if least > self._in_force.get(service, 0):
                self._in_force[service] = least
                self._world.log(service, f"revision {least} in force on all {len(serving)} VMs")

    def _look_at_rosters(self) -> None:
        rosters = sorted(
            ((vm.domain, vm.node.slots.roster) for vm in self._world.serving),
            key=lambda item: (item[0], item[1].version),
        )
        for domain, roster in rosters:
            if roster.version > self._rosters.get(domain, 0):
                self._rosters[domain] = roster.version
                names = _names(member.vm for member in roster.members)
                self._note(("roster", domain), domain, f"roster {roster.version}: {names}")

    def _look_at_peers(self) -> None:
        """Log the peers that a VM counts as down, and failure domains that it cannot reach."""
        domains = {item.name for item in self._world.deployment.failure_domains}
        for vm in self._world.serving:
            if not vm.process.is_running:
                continue
            members = vm.node.membership.view.members.values()
            down = _names(item.vm for item in members if item.state is MemberState.DOWN)
            self._note(("down", vm.name), vm.name, f"counts as down: {down}", "none" in down)
            lost = _names(domains - vm.node.topology.reachable_domains())
            self._note(("lost", vm.name), vm.name, f"does not reach: {lost}", "none" in lost)

    def _note(self, key: tuple[str, str], who: str, what: str, is_usual: bool = False) -> None:
        """Log something that changed; what is usual is not logged the first time."""
        if self._known.get(key) != what:
            if key in self._known or not is_usual:
                self._world.log(who, what)
            self._known[key] = what


def _names(names) -> str:
    return ", ".join(sorted(names)) or "none"
