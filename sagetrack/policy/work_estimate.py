"""Estimates of how much server work a request takes, by request class."""

from __future__ import annotations

# With fewer samples, a class also uses samples taken while requests are queued, and its estimate is mixed
# with the mean of all classes.
MIN_SAMPLES = 50
PRIOR_SAMPLES = 20.0  # number of samples that the mean of all classes counts for in that mix
SMOOTHING = 0.01  # minimum weight of the newest sample
DEFAULT_WORK_US = 50_000.0  # estimate for any request before the first sample


class WorkEstimator:
    """Mean work by class, measured from the latency of requests that did not queue."""

    def __init__(self) -> None:
        # By class: mean work of a request of size 1, and the number of samples.
        self.means: list[tuple[float, int]] = []

    def is_reliable(self, class_index: int) -> bool:
        """Return whether the estimate of a class is based on enough samples."""
        return class_index < len(self.means) and self.means[class_index][1] >= MIN_SAMPLES

    def learn(self, class_index: int, latency_us: float, size: float, queueing: bool) -> None:
        """Update the estimate with the latency of a successful request.

        Once a class has enough samples, latencies measured while requests are `queueing` are ignored, as they
        include waiting time.
        """
        while class_index >= len(self.means):
            self.means.append((0.0, 0))
        mean, samples = self.means[class_index]
        if samples >= MIN_SAMPLES and queueing:
            return
        samples += 1
        mean += (latency_us / size - mean) * max(SMOOTHING, 1.0 / samples)
        self.means[class_index] = mean, samples

    def estimate_us(self, class_index: int, size: float) -> float:
        """Return the work of a request in microseconds; `size` is relative to the mean of its class."""
        mean, samples = self.means[class_index] if class_index < len(self.means) else (0.0, 0)
        if samples < MIN_SAMPLES:
            # A few samples are not representative, so they are mixed with the mean of all classes.
            total = sum(n for _, n in self.means)
            overall = sum(mean * n for mean, n in self.means) / total if total else DEFAULT_WORK_US
            mean = (samples * mean + PRIOR_SAMPLES * overall) / (samples + PRIOR_SAMPLES)
        return mean * size
