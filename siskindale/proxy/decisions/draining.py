"""What a stopping VM does with its sessions, from SIGTERM to the end of its grace period."""

import enum

# The load balancer probes once a second and stops sending clients after two failed probes. With
# too few other VMs in its rotation it goes on sending them.
BALANCER_STOP_S = 2.2
# Share of the grace period in which requests are taken and open transactions may end by themselves.
SERVING_SHARE = 0.5
# What still runs this long before the end of the grace period is interrupted.
INTERRUPT_MARGIN_S = 0.7
# The process exits this long before the end of the grace period, when it would be killed.
EXIT_MARGIN_S = 0.5


class DrainPhase(enum.Enum):
    """Phases of a shutdown, in their order.

    SERVING: requests are taken; idle sessions are closed at an even rate.
    FINISHING: new sessions and requests are refused; what runs may finish.
    INTERRUPTING: what still runs is answered with an error.
    ENDED: the process exits.
    """

    SERVING = "serving"
    FINISHING = "finishing"
    INTERRUPTING = "interrupting"
    ENDED = "ended"


def next_phase(
    phase: DrainPhase, elapsed_s: float, grace_s: float, unfinished_count: int
) -> DrainPhase:
    """Returns the phase at `elapsed_s` after SIGTERM with `unfinished_count` sessions.

    Requests are refused before the process exits, even if it has nothing to do at the moment: a
    request that arrives as it exits would be left without an answer.
    """
    if elapsed_s >= grace_s - EXIT_MARGIN_S:
        return DrainPhase.ENDED
    if phase is DrainPhase.SERVING:
        served_s = grace_s * SERVING_SHARE
        done = elapsed_s >= BALANCER_STOP_S and not unfinished_count
        return DrainPhase.FINISHING if done or elapsed_s >= served_s else phase
    if not unfinished_count:
        return DrainPhase.ENDED
    if elapsed_s >= grace_s - INTERRUPT_MARGIN_S:
        return DrainPhase.INTERRUPTING
    return phase


def closing_quota(session_count: int, elapsed_s: float, grace_s: float, interval_s: float) -> int:
    """Returns how many idle sessions to close now, to close all at an even rate while serving."""
    remaining_rounds = max(1.0, (grace_s * SERVING_SHARE - elapsed_s) / interval_s)
    return -(-session_count // int(remaining_rounds))
