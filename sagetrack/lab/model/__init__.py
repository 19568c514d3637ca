"""The model of a fleet, on whatever clock: scenarios, address servers, and what happens around them."""
