"""sagetrack: a load-balancing gateway with count-based circuit breakers and feedback-controlled weights."""

__version__ = "0.2.0"
