"""From discovery's JSON to endpoints.

An entry that cannot be used does not spoil the list: it is skipped, or taken as a withdrawal of the server
that it names, and logged.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from sagetrack.config.platform import Address, Names, parse_address, stable_id
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
NO_ADDRESS: Address = ("", 0)  # of a server that has been withdrawn
SERVER_ID_BYTES = 4
WEIGHT_LIMIT = 1e9  # a weight is below it
LOGGED_ENTRY_CHARACTERS = 200
UNUSABLE_ENTRY = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class EndpointListUpdate(NamedTuple):
    """One response of discovery.

    Attributes:
        version: The list's version, from which a watch continues.
        is_complete: Whether this is the complete list; otherwise it holds the changed entries alone.
        endpoints: The usable entries.
    """

    version: int
    is_complete: bool
    endpoints: list[Endpoint]


def parse_endpoint_list(raw: object, names: Names) -> EndpointListUpdate:
    """Read a list in discovery's form.

    Of two entries whose names have the same server id, the second is skipped.

    Raises:
        EndpointListError: This is no list.
        KeyError: The list has no version.
        TypeError: The version is no number.
        ValueError: The version is no number.
    """
    if not isinstance(raw, dict):
        raise EndpointListError(f"endpoint list: a JSON object is expected, not {type(raw).__name__}")
    entries = raw.get("endpoints")
    entries = [] if entries is None else entries  # some encoders write an empty list as null
    if not isinstance(entries, list):
        raise EndpointListError(
            f"endpoint list: `endpoints` has to be an array, not {type(entries).__name__}"
        )
    found: dict[int, Endpoint] = {}
    for entry in entries:
        endpoint = parse_endpoint_or_withdrawal(entry, names)
        if endpoint is None:
            continue
        other = found.get(endpoint.listed.server)
        if other is not None and other.name != endpoint.name:
            log(f"endpoint list entry skipped: {endpoint.name} has the same server id as {other.name}")
            continue
        found[endpoint.listed.server] = endpoint
    return EndpointListUpdate(int(raw["index"]), bool(raw.get("snapshot", False)), list(found.values()))


def parse_endpoint_or_withdrawal(raw: Any, names: Names) -> Endpoint | None:
    """Read an entry, or at least the withdrawal in it; None, and a log line, if it is neither."""
    try:
        return parse_endpoint(raw, names)
    except UNUSABLE_ENTRY as error:
        try:
            withdrawn = parse_withdrawal(raw)
        except UNUSABLE_ENTRY:
            withdrawn = None
        consequence = "skipped" if withdrawn is None else "taken as a withdrawal"
        log(f"endpoint list entry {consequence} ({error!r}): {str(raw)[:LOGGED_ENTRY_CHARACTERS]}")
        return withdrawn


def parse_endpoint(raw: dict[str, Any], names: Names) -> Endpoint:
    """Read an entry in full.

    Raises:
        KeyError: A field that is required is missing, or the status is unknown.
        TypeError: A field has another type than documented.
        ValueError: A field has a value that is not allowed.
    """
    name = parse_name(raw)
    zone, kind, group = raw.get("zone", ""), raw.get("type", ""), raw.get("group", 0)
    return Endpoint(
        name,
        parse_address(raw["address"], "address"),
        ListedServer(
            server=stable_id(name, SERVER_ID_BYTES),
            status=STATUSES[raw["status"]],
            weight=_parse_weight(raw.get("weight", 1.0)),
            zone=index_of_name(zone, names.zones),
            group=group if isinstance(group, int) else stable_id(str(group), SERVER_ID_BYTES),
            kind=index_of_name(kind, names.kinds),
            started_us=int(raw.get("since_ms") or 0) * 1000,
        ),
    )


def parse_withdrawal(raw: dict[str, Any]) -> Endpoint | None:
    """Read an entry that withdraws its server, by its name alone; None if it says that the server serves.

    No request may go to a server whose entry cannot be used: one that drains may be listed with weight 0, one
    that is gone without an address. A status that is unknown here withdraws too.

    Raises:
        EndpointListError: The entry has no name.
        KeyError: The entry has no name.
    """
    if raw.get("status") == STATUS_SERVING:
        return None
    name = parse_name(raw)
    return Endpoint(name, NO_ADDRESS, ListedServer(stable_id(name, SERVER_ID_BYTES), ServerStatus.GONE))


def parse_name(raw: dict[str, Any]) -> str:
    """Read the name of an entry.

    Raises:
        KeyError: The entry has no name.
        EndpointListError: The name is empty or no string.
    """
    name = raw["name"]
    if not isinstance(name, str) or not name:
        raise EndpointListError(
            f"endpoint list entry: `name` has to be a string that is not empty, not {name!r}"
        )
    return name


def _parse_weight(value: object) -> float:
    weight = float(value)  # type: ignore[arg-type]
    if not 0.0 < weight < WEIGHT_LIMIT:
        raise EndpointListError(
            f"endpoint list entry: weight {weight} is not above 0 and below {WEIGHT_LIMIT:g}"
        )
    return weight


def index_of_name(name: object, configured: dict[str, int]) -> int:
    """Return a name's index in the settings; an unknown one's is beyond them, and equal on all gateways."""
    index = configured.get(str(name))
    return index if index is not None else len(configured) + stable_id(str(name), SERVER_ID_BYTES)
