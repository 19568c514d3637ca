"""What the records of a run show: broken rules, figures and plots."""
