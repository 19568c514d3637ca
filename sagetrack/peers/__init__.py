"""Membership between gateways, and what they tell each other."""
