"""Process settings for starting children: the parent-death signal and the limit of open files."""

from __future__ import annotations

import ctypes
import resource
import signal

from sagetrack.lab.errors import LabError

PR_SET_PDEATHSIG = 1  # option of prctl(2)


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent ends. Used as `preexec_fn` of a child process."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def prepare_gateway() -> None:
    """Prepare the start of a gateway as the deploy file's `run` does. Used as `preexec_fn`."""
    die_with_parent()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def require_file_descriptors(count: int) -> None:
    """Raise this process's soft limit of open files to at least `count`.

    Raises LabError if the hard limit is lower.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        if hard != resource.RLIM_INFINITY and hard < count:
            raise LabError(
                f"{count} descriptors are needed, but the hard limit is {hard}; raise `ulimit -Hn`"
            )
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
