"""What may happen while a simulated fleet of deciders runs.

Each one is called with the run each whole second since the load began.
"""

from __future__ import annotations

#: The second in which a fault begins.
BEGIN = 2
#: Part of the engines that end at once, and of the others that end a second later.
CRASHED, CRASHED_NEXT = 0.25, 1 / 6
#: Seconds until a router no longer knows an engine that has ended, and until it knows
#: a new one.
UNLISTED_IN = (0.2, 1.0)
LISTED_IN = (0.1, 0.5)
#: Part of the engines without which there is a pool less, and for how many seconds.
HIDDEN = 0.3
HIDDEN_FOR = 3
#: Seconds from the end of a router until it has started anew.
RESTARTED_IN = 0.5


def slow_decider(run, second):
    """Let a router that leads a pool run at a fifth of its speed from 2 s on."""
    if second == BEGIN:
        run.fleet.attached[run.led[1]].clock.speed /= 5


def kill_deciders(run, second):
    """End two routers that lead pools, at 2 and 4 s."""
    if second in (BEGIN, BEGIN + 2):
        run.fleet.kill(run.led[second // 2])


def crash_engines(run, second):
    """End a quarter of the engines at 2 s; as many come under other names.

    Routers learn of both at different moments, so that some count more engines for a
    while than there are and others fewer.
    """
    if second == BEGIN:
        ended = run.registrations.some(CRASHED)
        run.registrations.end(ended, *UNLISTED_IN)
        run.registrations.add(len(ended), *LISTED_IN)


def crash_and_return(run, second):
    """End a quarter of the engines at 2 s; as many come 2 s later under other names."""
    if second == BEGIN:
        run.crashed = run.registrations.some(CRASHED)
        run.registrations.end(run.crashed, *UNLISTED_IN)
    if second == BEGIN + 2:
        run.registrations.add(len(run.crashed), *LISTED_IN)


def crash_twice(run, second):
    """End a quarter of the engines at 2 s for 2 s, a sixth of the rest at 3 s for 4 s.

    Those that come back have other names.
    """
    if second in (BEGIN, BEGIN + 1):
        part, lasting = ((CRASHED, 2.0), (CRASHED_NEXT, 4.0))[second - BEGIN]
        ended = run.registrations.some(part)
        run.registrations.end(ended, *UNLISTED_IN)
        add = run.registrations.add
        run.loop.call_later(lasting, add, len(ended), *LISTED_IN)


def shrink(run, second):
    """Take so many engines off the list at 2 s that a pool is less, for 3 s."""
    if second == BEGIN:
        run.hidden = run.registrations.some(HIDDEN)
        names = [item.name for item in run.hidden]
        run.registrations.hide(names, *UNLISTED_IN)
    if second == BEGIN + HIDDEN_FOR:
        run.registrations.show(run.hidden, *LISTED_IN)


def hand_over(run, second):
    """Let the leaders of all pools give up deciding, one each second from 2 s on."""
    if second in range(BEGIN, BEGIN + len(run.led)):
        run.fleet.attached[run.led[second - BEGIN]].fleet.set_lagging(True)


def restart_deciders(run, second):
    """End the leaders of two pools, at 2 and 4 s, and start them anew."""
    if second in (BEGIN, BEGIN + 2):
        run.restart(run.leaders()[second - BEGIN], RESTARTED_IN)


#: Faults by name.
FAULTS = {
    "none": None,
    "slow": slow_decider,
    "kill": kill_deciders,
    "crash": crash_engines,
    "crash-return": crash_and_return,
    "crash-twice": crash_twice,
    "shrink": shrink,
    "hand-over": hand_over,
    "restart": restart_deciders,
}
