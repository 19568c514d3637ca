"""Service discovery: endpoint lists are polled and watched, parsed, and handed to whoever selects servers."""
