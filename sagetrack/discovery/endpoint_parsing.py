"""Parses endpoint lists in the JSON format of discovery.

An unusable entry does not invalidate the list. It is logged and either skipped or treated as the withdrawal
of the server that it names.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from sagetrack.config.platform import Address, NameIndices, parse_address, stable_hash
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.log import log
from sagetrack.discovery.errors import EndpointListError
from sagetrack.policy.events import ListedServer, ServerStatus

STATUS_SERVING = "SERVING"
STATUSES = {
    STATUS_SERVING: ServerStatus.READY,
    "DRAINING": ServerStatus.DRAINING,
    "DELETED": ServerStatus.GONE,
}
NO_ADDRESS: Address = ("", 0)  # the address of a server withdrawn by an unusable entry
SERVER_ID_BYTES = 4
WEIGHT_LIMIT = 1e9  # weights have to be below this value
MAX_LOGGED_ENTRY_CHARACTERS = 200
UNUSABLE_ENTRY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class EndpointListUpdate(NamedTuple):
    """The parsed content of a discovery response.

    Attributes:
        version: The version of the list, from which a watch continues.
        is_complete: True for the complete list, False if there are only the changed entries.
        endpoints: The usable entries.
    """

    version: int
    is_complete: bool
    endpoints: list[Endpoint]


def parse_endpoint_list(raw: object, names: NameIndices) -> EndpointListUpdate:
    """Parse an endpoint list in the format of discovery.

    If two different names have the same server id, the second entry is skipped.

    Raises:
        EndpointListError: The value is not an endpoint list.
        KeyError: The list has no version.
        TypeError: The version is not a number.
        ValueError: The version is not a number.
    """
    if not isinstance(raw, dict):
        raise EndpointListError(f"endpoint list: expected a JSON object, got {type(raw).__name__}")
    entries = raw.get("endpoints")
    entries = [] if entries is None else entries  # some encoders write an empty list as null
    if not isinstance(entries, list):
        raise EndpointListError(
            f"endpoint list: expected an array in `endpoints`, got {type(entries).__name__}"
        )
    by_server_id: dict[int, Endpoint] = {}
    for entry in entries:
        endpoint = parse_endpoint_or_withdrawal(entry, names)
        if endpoint is None:
            continue
        other = by_server_id.get(endpoint.listed.server)
        if other is not None and other.name != endpoint.name:
            log(f"endpoint list entry skipped: {endpoint.name} has the same server id as {other.name}")
            continue
        by_server_id[endpoint.listed.server] = endpoint
    return EndpointListUpdate(
        int(raw["index"]), bool(raw.get("snapshot", False)), list(by_server_id.values())
    )


def parse_endpoint_or_withdrawal(raw: Any, names: NameIndices) -> Endpoint | None:
    """Parse an entry; an unusable one is logged and parsed as a withdrawal if possible.

    Returns:
        The endpoint or the withdrawal, or None if the entry is to be skipped.
    """
    try:
        return parse_endpoint(raw, names)
    except UNUSABLE_ENTRY_ERRORS as error:
        try:
            withdrawn = parse_withdrawal(raw)
        except UNUSABLE_ENTRY_ERRORS:
            withdrawn = None
        consequence = "skipped" if withdrawn is None else "treated as a withdrawal"
        log(f"endpoint list entry {consequence} ({error!r}): {str(raw)[:MAX_LOGGED_ENTRY_CHARACTERS]}")
        return withdrawn


def parse_endpoint(raw: dict[str, Any], names: NameIndices) -> Endpoint:
    """Parse all fields of an entry.

    Raises:
        KeyError: A required field is missing or the status is unknown.
        TypeError: A field has the wrong type.
        ValueError: A field has an invalid value.
    """
    name = parse_name(raw)
    zone, kind, group = raw.get("zone", ""), raw.get("type", ""), raw.get("group", 0)
    return Endpoint(
        name,
        parse_address(raw["address"], "address"),
        ListedServer(
            server=stable_hash(name, SERVER_ID_BYTES),
            status=STATUSES[raw["status"]],
            weight=_parse_weight(raw.get("weight", 1.0)),
            zone=index_of_name(zone, names.zones),
            group=group if isinstance(group, int) else stable_hash(str(group), SERVER_ID_BYTES),
            kind=index_of_name(kind, names.kinds),
            started_us=int(raw.get("since_ms") or 0) * 1000,
        ),
    )


def parse_withdrawal(raw: dict[str, Any]) -> Endpoint | None:
    """Parse only the name and status of an entry; returns None if the status is SERVING.

    No request may go to a server that is not serving, even if the rest of its entry is unusable: a draining
    server may be listed with weight 0, and a deleted one without an address. An unknown status counts as a
    withdrawal.

    Raises:
        EndpointListError: The entry has no name.
        KeyError: The entry has no name.
    """
    if raw.get("status") == STATUS_SERVING:
        return None
    name = parse_name(raw)
    return Endpoint(name, NO_ADDRESS, ListedServer(stable_hash(name, SERVER_ID_BYTES), ServerStatus.GONE))


def parse_name(raw: dict[str, Any]) -> str:
    """Return the name of an entry.

    Raises:
        KeyError: The entry has no name.
        EndpointListError: The name is not a string or is empty.
    """
    name = raw["name"]
    if not isinstance(name, str) or not name:
        raise EndpointListError(f"endpoint list entry: `name` has to be a non-empty string, got {name!r}")
    return name


def _parse_weight(value: object) -> float:
    weight = float(value)  # type: ignore[arg-type]
    if not 0.0 < weight < WEIGHT_LIMIT:
        raise EndpointListError(
            f"endpoint list entry: `weight` is {weight}, but has to be above 0 and below {WEIGHT_LIMIT:g}"
        )
    return weight


def index_of_name(name: object, configured: dict[str, int]) -> int:
    """Return the index of a configured name.

    An unknown name gets an index above the configured ones, which is the same on all gateways.
    """
    index = configured.get(str(name))
    return index if index is not None else len(configured) + stable_hash(str(name), SERVER_ID_BYTES)
