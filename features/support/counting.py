"""Counts the work that is done on bytes."""


class CountingBuffer(bytearray):
    """A buffer that counts the bytes that are added to it or read from it.

    Attributes:
        handled_bytes: The count of all buffers; tests reset it.
    """

    handled_bytes = 0

    def __iadd__(self, data):
        CountingBuffer.handled_bytes += len(data)
        return super().__iadd__(data)

    def __getitem__(self, key):
        found = super().__getitem__(key)
        size_bytes = len(found) if isinstance(key, slice) else 1
        CountingBuffer.handled_bytes += size_bytes
        return found
