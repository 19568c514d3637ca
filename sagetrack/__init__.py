"""sagetrack: a gateway that decides by count-based circuit breakers and feedback-controlled weights."""

__version__ = "0.2.0"
