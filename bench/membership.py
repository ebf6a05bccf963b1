"""Measures gossip traffic and CPU per member.

The members use real UDP sockets on the loopback interface. They are spread over
worker processes, which the main process controls through one pipe each. CPU per
member is the CPU time of the workers divided by the number of members, so it
includes the event loop and system calls. The results are valid only if no
worker comes near the use of one core, since its probes would be late; the
busiest worker is part of the result.

The initial members get each other's records directly, without gossip.
``--churn`` replaces members at a rate per second: one leaves, then a new one
with a new id joins. ``--pause`` then stops the first worker (SIGSTOP) for some
seconds; the traffic, suspicions and refutations after it are reported in steps.
``--rack`` crashes some members at once, and ``--restart`` crashes some members
and starts as many new ones.
"""

import argparse
import collections
import json
import multiprocessing
import os
import random
import secrets
import signal
import statistics
import tempfile
import time

from bench.members import ZONES, run_worker

STEP_S = 5.0


class Fleet:
    """The worker processes, with the worker of each member."""

    def __init__(self, count: int, processes: int) -> None:
        context = multiprocessing.get_context("spawn")
        self.rng = random.Random(1)
        self.pipes, self.workers = [], []
        for _ in range(min(processes, count)):
            pipe, worker_pipe = context.Pipe()
            worker = context.Process(
                target=run_worker, args=(worker_pipe,), daemon=True
            )
            worker.start()
            self.pipes.append(pipe)
            self.workers.append(worker)
        # Separates fleets that run at the same time, since ports are reused.
        handle, self.secret_file = tempfile.mkstemp()
        os.write(handle, secrets.token_hex(32).encode())
        os.close(handle)
        self.call_all("use_secret", self.secret_file)
        self.next_number = count
        self.worker_index_by_id: dict[str, int] = {}
        self.port_by_id: dict[str, int] = {}
        size = len(self.pipes)
        added = self.call_each(
            "add", [(list(range(index, count, size)),) for index in range(size)]
        )
        members = [entry for part in added for entry in part]
        for index, part in enumerate(added):
            for member_id, port, _ in part:
                self.worker_index_by_id[member_id] = index
                self.port_by_id[member_id] = port
        ports = [port for _, port, _ in members[:3]]
        self.call_all("introduce", [blob for _, _, blob in members], ports)

    def send(self, index: int, name: str, *arguments) -> None:
        """Sends a command to one worker."""
        self.pipes[index].send((name, arguments))

    def call(self, index: int, name: str, *arguments):
        """Runs a command in one worker and returns its result."""
        self.send(index, name, *arguments)
        return self.pipes[index].recv()

    def call_each(self, name: str, arguments: list[tuple]) -> list:
        """Runs a command in all workers at once, with arguments for each."""
        for index, entry in enumerate(arguments):
            self.send(index, name, *entry)
        return [pipe.recv() for pipe in self.pipes]

    def call_all(self, name: str, *arguments) -> list:
        """Runs a command in all workers at once, with the same arguments."""
        return self.call_each(name, [arguments] * len(self.pipes))

    def measure_cost(self, seconds: float) -> dict:
        """Measures the cost per member and second over a period."""
        first = self.call_all("read")
        time.sleep(seconds)
        return cost_between(first, self.call_all("read"))

    def replace_random_member(self) -> float:
        """Replaces a random member; returns its join time in s."""
        old_id = self.rng.choice(list(self.worker_index_by_id))
        index = self.worker_index_by_id.pop(old_id)
        number = self.next_number
        self.next_number += 1
        zone = number % ZONES
        self.worker_index_by_id[f"hu-west-{zone}-vm{number:05}"] = index
        return self.call(index, "replace", old_id, number)

    def churn(self, seconds: float, rate_per_s: float) -> dict:
        """Replaces members at a rate and returns the cost during it."""
        first = self.call_all("read")
        started_s = time.monotonic()
        joins_s = []
        for number in range(max(int(seconds * rate_per_s), 1)):
            joins_s.append(self.replace_random_member())
            due_s = started_s + (number + 1) / rate_per_s
            time.sleep(max(due_s - time.monotonic(), 0.0))
        result = cost_between(first, self.call_all("read"))
        result["replacements"] = len(joins_s)
        result["join_ms"] = [
            round(1000 * statistics.median(joins_s)),
            round(1000 * max(joins_s)),
        ]
        return result

    def crash(self, count: int) -> None:
        """Crashes the first members, without announcing that they leave."""
        chosen = list(self.worker_index_by_id)[:count]
        ids_by_index = collections.defaultdict(list)
        for member_id in chosen:
            ids_by_index[self.worker_index_by_id.pop(member_id)].append(
                member_id
            )
        self.call_each(
            "crash", [(ids_by_index[i],) for i in range(len(self.pipes))]
        )

    def start_members(self, count: int) -> None:
        """Starts new members at once, with running members as seeds."""
        running = [
            key for key in self.port_by_id if key in self.worker_index_by_id
        ]
        seeds = [self.port_by_id[member_id] for member_id in running[:3]]
        self.call_all("use_seeds", seeds)
        size = len(self.pipes)
        numbers = range(self.next_number, self.next_number + count)
        self.next_number += count
        added = self.call_each(
            "add", [(list(numbers[i::size]),) for i in range(size)]
        )
        for index, part in enumerate(added):
            for member_id, _, _ in part:
                self.worker_index_by_id[member_id] = index

    def leave_propagation_ms(self) -> float:
        """Returns the time in ms until all see a member as leaving."""
        member_id = self.rng.choice(list(self.worker_index_by_id))
        started_s = self.call(
            self.worker_index_by_id[member_id], "announce_leave", member_id
        )
        end_s = max(self.call_all("await_leaving", member_id))
        return round(1000 * max(end_s - started_s, 0.0), 1)

    def version_propagation_ms(self, team: str, version: int) -> float:
        """Returns the time in ms until all hold a new version of a team."""
        member_id = self.rng.choice(list(self.worker_index_by_id))
        index = self.worker_index_by_id[member_id]
        started_s = self.call(index, "set_version", member_id, team)
        end_s = max(self.call_all("await_version", team, version))
        return round(1000 * max(end_s - started_s, 0.0), 1)

    def measure_version_changes(self, seconds: float, changes: int) -> dict:
        """Changes versions of 50 teams and returns the cost during it."""
        self.call_all("hold_versions", {f"team-{n}": 1 for n in range(50)})
        time.sleep(20)
        first = self.call_all("read")
        times_ms = []
        for number in range(changes):
            times_ms.append(self.version_propagation_ms(f"team-{number}", 2))
            time.sleep(seconds / changes)
        result = cost_between(first, self.call_all("read"))
        result["changes"] = changes
        result["held_ms"] = statistics.median(times_ms)
        result["held_worst_ms"] = max(times_ms)
        return result

    def measure_steps(self, count: int) -> list[dict]:
        """Measures the cost in consecutive steps of ``STEP_S``."""
        return [self.measure_cost(STEP_S) for _ in range(count)]

    def stop(self) -> None:
        """Stops all workers and removes the secret file."""
        os.unlink(self.secret_file)
        for pipe in self.pipes:
            pipe.send(None)
        for worker in self.workers:
            worker.join()


def cost_between(first: list[dict], last: list[dict]) -> dict:
    """Returns the cost per member and second between two readings.

    The sent bytes per second are the median and the maximum over the members
    that ran throughout, and the mean over all members.
    """
    wall_s = last[0]["wall_s"] - first[0]["wall_s"]
    cpus_s = [b["cpu_s"] - a["cpu_s"] for a, b in zip(first, last, strict=True)]
    counts: collections.Counter[str] = collections.Counter()
    rates = []
    for before, after in zip(first, last, strict=True):
        counts.update(after["counts"])
        counts.subtract(before["counts"])
        rates += [
            (sent - before["sent_by_id"][member_id]) / wall_s
            for member_id, sent in after["sent_by_id"].items()
            if member_id in before["sent_by_id"]
        ]
    members = sum(len(reading["sent_by_id"]) for reading in last)
    sent_bytes = counts.pop("sent_bytes", 0)
    return {
        "s": round(wall_s, 1),
        "sent_bytes_per_s": round(statistics.median(rates)),
        "sent_mean": round(sent_bytes / wall_s / members),
        "sent_largest": round(max(rates)),
        "cpu_percent": round(100 * sum(cpus_s) / wall_s / members, 4),
        "busiest_cores": round(max(cpus_s) / wall_s, 3),
        "ack_ms": percentiles([ms for r in last for ms in r["acks_ms"]]),
        "timer_late_ms": percentiles([ms for r in last for ms in r["lags_ms"]]),
        "rss_mb": round(max(reading["rss_mb"] for reading in last)),
        "counts": {key: n for key, n in sorted(counts.items()) if n},
    }


def percentiles(values_ms: list[float]) -> list[float]:
    """Returns the median, the 99th percentile and the maximum."""
    ordered = sorted(values_ms) or [0.0]
    ranks = (len(ordered) // 2, len(ordered) * 99 // 100, len(ordered) - 1)
    return [round(ordered[rank], 1) for rank in ranks]


def measure(count: int, arguments: argparse.Namespace) -> dict:
    """Measures a fleet of one size."""
    fleet = Fleet(count, arguments.processes)
    result: dict = {"members": count, "load": os.getloadavg()[0]}
    time.sleep(5)
    result["rest"] = fleet.measure_cost(arguments.seconds)
    if arguments.churn:
        result["churn"] = fleet.churn(arguments.seconds, arguments.churn)
    if arguments.changes:
        result["versions"] = fleet.measure_version_changes(
            arguments.seconds, arguments.changes
        )
    if arguments.leaves:
        leaves = [fleet.leave_propagation_ms() for _ in range(arguments.leaves)]
        result["leave_ms"] = [statistics.median(leaves), max(leaves)]
    if arguments.pause:
        os.kill(fleet.workers[0].pid, signal.SIGSTOP)
        time.sleep(arguments.pause)
        os.kill(fleet.workers[0].pid, signal.SIGCONT)
        result["after_pause"] = fleet.measure_steps(arguments.steps)
    if arguments.rack:
        fleet.crash(arguments.rack)
        result["after_rack"] = fleet.measure_steps(arguments.steps)
    if arguments.restart:
        fleet.crash(arguments.restart)
        fleet.start_members(arguments.restart)
        result["leave_in_restart_ms"] = fleet.leave_propagation_ms()
        result["after_restart"] = fleet.measure_steps(arguments.steps)
    fleet.stop()
    return result


def main() -> None:
    """Prints one JSON line per number of members."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="10,30,100,300")
    parser.add_argument("--processes", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--churn", type=float, default=0.2)
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--leaves", type=int, default=5)
    parser.add_argument("--pause", type=float, default=0)
    parser.add_argument("--rack", type=int, default=0)
    parser.add_argument("--restart", type=int, default=0)
    parser.add_argument("--steps", type=int, default=6)
    arguments = parser.parse_args()
    for count in arguments.members.split(","):
        print(json.dumps(measure(int(count), arguments)), flush=True)


if __name__ == "__main__":
    main()
