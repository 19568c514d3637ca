"""Headers of a message that is being received, kept as one block of bytes.

A list of name and value pairs takes several times the memory of the text if the headers are short, and a
client may send very many of them without ever ending the head.
"""

from __future__ import annotations

from array import array

from sagetrack.core.responses import Header

LENGTH_TYPE = "H"  # unsigned 16 bits; the limit of a head is far below 64 KiB


class HeaderBlock:
    """Headers in the order in which they were added."""

    __slots__ = ("_lengths", "_text")

    def __init__(self) -> None:
        self._text = bytearray()
        self._lengths = array(LENGTH_TYPE)  # of each name and value in turn

    def __len__(self) -> int:
        return len(self._lengths) // 2

    @property
    def text_bytes(self) -> int:
        """Length of all names and values together."""
        return len(self._text)

    @property
    def memory_bytes(self) -> int:
        """Memory of the block in bytes."""
        return len(self._text) + len(self._lengths) * self._lengths.itemsize

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._text += name
        self._text += value
        self._lengths.extend((len(name), len(value)))

    def unpack(self) -> list[Header]:
        """Return the headers as pairs of name and value."""
        headers: list[Header] = []
        text = bytes(self._text)
        at = 0
        for name_length, value_length in zip(self._lengths[::2], self._lengths[1::2], strict=True):
            value_at = at + name_length
            end = value_at + value_length
            headers.append((text[at:value_at], text[value_at:end]))
            at = end
        return headers
