"""The endpoint list in discovery's JSON form, as a process passes it to its successor."""

from __future__ import annotations

import json
from typing import Any

DELETED = "DELETED"


def encode_endpoint(entry: dict[str, Any]) -> bytes:
    """Return an entry as JSON."""
    return json.dumps(entry).encode()


def encode_endpoint_list(fields: dict[str, Any]) -> bytes:
    """Return a list as JSON; entries given as bytes are JSON already and are copied."""
    encoded = {name: json.dumps(value).encode() for name, value in fields.items() if name != "endpoints"}
    if "endpoints" in fields:
        entries = (e if isinstance(e, bytes) else encode_endpoint(e) for e in fields["endpoints"])
        encoded["endpoints"] = b"[" + b",".join(entries) + b"]"
    return b"{" + b",".join(json.dumps(n).encode() + b":" + value for n, value in encoded.items()) + b"}"


class EndpointListSnapshot:
    """The complete list as it stands, kept up to date from the changes that discovery sends.

    An entry is encoded when the list is asked for, and only once for each change of it.
    """

    def __init__(self) -> None:
        self._encoded: dict[str, bytes] = {}  # by name
        self._changed: dict[str, dict[str, Any]] = {}  # by name: entries that are not encoded yet
        self._version: int | None = None

    def apply(self, raw: dict[str, Any], version: int | None, is_complete: bool) -> None:
        """Take in a response of discovery; entries without a name are ignored."""
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
        """Return the list's fields for `encode_endpoint_list`, with entries as JSON."""
        for name, entry in self._changed.items():
            self._encoded[name] = encode_endpoint(entry)
        self._changed = {}
        return {"index": self._version, "snapshot": True, "endpoints": list(self._encoded.values())}
