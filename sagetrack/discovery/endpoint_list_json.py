"""Encodes the endpoint list in the JSON format of discovery, to pass it to the successor process."""

from __future__ import annotations

import json
from typing import Any

DELETED = "DELETED"


def encode_endpoint(entry: dict[str, Any]) -> bytes:
    """Return a list entry as JSON."""
    return json.dumps(entry).encode()


def encode_endpoint_list(fields: dict[str, Any]) -> bytes:
    """Return a list as JSON; entries of type bytes are already encoded and are copied unchanged."""
    encoded = {name: json.dumps(value).encode() for name, value in fields.items() if name != "endpoints"}
    if "endpoints" in fields:
        entries = (e if isinstance(e, bytes) else encode_endpoint(e) for e in fields["endpoints"])
        encoded["endpoints"] = b"[" + b",".join(entries) + b"]"
    return b"{" + b",".join(json.dumps(n).encode() + b":" + value for n, value in encoded.items()) + b"}"


class EndpointListSnapshot:
    """The current complete list, updated from the changes that discovery sends.

    Entries are encoded when the list is read, and each entry only once per change.
    """

    def __init__(self) -> None:
        self._encoded: dict[str, bytes] = {}  # entries as JSON, by name
        self._changed: dict[str, dict[str, Any]] = {}  # entries that are not encoded yet, by name
        self._version: int | None = None

    def apply(self, raw: dict[str, Any], version: int | None, is_complete: bool) -> None:
        """Apply the content of a discovery response; entries without a name are ignored."""
        if is_complete:
            self._encoded = {}
            self._changed = {}
        for entry in raw.get("endpoints") or []:
            if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
                continue
            if entry.get("status") == DELETED:
                self._encoded.pop(entry["name"], None)
                self._changed.pop(entry["name"], None)
            else:
                self._changed[entry["name"]] = entry
        self._version = version

    def fields(self) -> dict[str, Any]:
        """Return the fields of the list for `encode_endpoint_list`, with the entries already encoded."""
        for name, entry in self._changed.items():
            self._encoded[name] = encode_endpoint(entry)
        self._changed = {}
        return {"index": self._version, "snapshot": True, "endpoints": list(self._encoded.values())}
