"""Analysis of a run's records: rule violations, metrics and plots."""
