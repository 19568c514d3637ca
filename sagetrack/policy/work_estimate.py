"""Estimates of how much server work a request takes, by request class."""

from __future__ import annotations

MIN_SAMPLES = 50  # with fewer, a class's mean is learnt under load too, and drawn towards that of all classes
PRIOR_SAMPLES = 20.0  # samples that the mean of all classes counts for then
SMOOTHING = 0.01  # weight of the newest sample
DEFAULT_WORK_US = 50_000.0  # of any request before the first samples


class WorkEstimator:
    """Mean work by class, learnt from the latency of requests that did not queue."""

    def __init__(self) -> None:
        self.means: list[
            tuple[float, int]
        ] = []  # by class: mean work of a request of size 1, and its samples

    def is_reliable(self, class_index: int) -> bool:
        """Whether the estimate of a class rests on enough samples."""
        return class_index < len(self.means) and self.means[class_index][1] >= MIN_SAMPLES

    def learn(self, class_index: int, latency_us: float, size: float, queueing: bool) -> None:
        """Take the latency of a successful request.

        With enough samples, those taken while requests are `queueing` are ignored: they hold waiting time.
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
        """Work of a request in microseconds, where `size` is its work relative to its class's mean."""
        mean, samples = self.means[class_index] if class_index < len(self.means) else (0.0, 0)
        if samples < MIN_SAMPLES:
            # A few samples say more of chance than of the class: until then it is mixed with all classes.
            total = sum(n for _, n in self.means)
            overall = sum(mean * n for mean, n in self.means) / total if total else DEFAULT_WORK_US
            mean = (samples * mean + PRIOR_SAMPLES * overall) / (samples + PRIOR_SAMPLES)
        return mean * size
