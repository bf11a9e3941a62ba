"""A selector that keeps descriptors registered with the system between two waits.

A task that serves a call waits for its caller's connection and for another node's in turn, and the
event loop registers and removes a descriptor for each wait: four system calls for each call at
each node. Here a descriptor that nobody waits for stays registered until it reports something or
is used for another connection.
"""

from collections.abc import Mapping
from math import ceil
from select import EPOLLIN, EPOLLOUT, epoll
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector, SelectorKey

MS_PER_S = 1000.0
NO_LIMIT = -1


class KeepingSelector(BaseSelector):
    """Behaves as the standard library's epoll selector does, with fewer system calls."""

    def __init__(self) -> None:
        self._epoll = epoll()
        self._keys: dict[int, SelectorKey] = {}
        #: What the system has: the file object and the events, also of those nobody waits for.
        self._kept: dict[int, tuple[object, int]] = {}

    def register(self, fileobj: object, events: int, data: object = None) -> SelectorKey:
        """Begin to wait for a file object.

        :raises KeyError: if it is waited for already.
        """
        descriptor = _descriptor_of(fileobj)
        if descriptor in self._keys:
            raise KeyError(descriptor)
        key = SelectorKey(fileobj, descriptor, events, data)
        self._tell(descriptor, fileobj, events)
        self._keys[descriptor] = key
        return key

    def unregister(self, fileobj: object) -> SelectorKey:
        """Stop to wait for a file object.

        A bare number may stand for another file soon, so it is not kept.

        :raises KeyError: if it is not waited for.
        """
        key = self._keys.pop(_descriptor_of(fileobj))
        if isinstance(key.fileobj, int):
            self._drop(key.fd)
        return key

    def modify(self, fileobj: object, events: int, data: object = None) -> SelectorKey:
        """Change what a file object is waited for.

        :raises KeyError: if it is not waited for.
        """
        key = self._keys[_descriptor_of(fileobj)]
        if events != key.events:
            self._tell(key.fd, key.fileobj, events)
        changed = key._replace(events=events, data=data)
        self._keys[key.fd] = changed
        return changed

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Wait for events and return them; a descriptor that nobody waits for is dropped.

        :param timeout: longest wait in seconds; None for no limit.
        """
        ready = []
        for descriptor, events in self._epoll.poll(_limit(timeout), max(len(self._kept), 1)):
            key = self._keys.get(descriptor)
            if key is None:
                self._drop(descriptor)
                continue
            mask = (events & ~EPOLLIN and EVENT_WRITE) | (events & ~EPOLLOUT and EVENT_READ)
            if mask & key.events:
                ready.append((key, mask & key.events))
        return ready

    def get_key(self, fileobj: object) -> SelectorKey:
        """Return the key of a file object.

        :raises KeyError: if it is not waited for.
        """
        return self._keys[_descriptor_of(fileobj)]

    def get_map(self) -> Mapping[int, SelectorKey]:
        """Return the keys by descriptor."""
        return self._keys

    def close(self) -> None:
        """Close the descriptor of the selector itself."""
        self._epoll.close()
        self._keys.clear()
        self._kept.clear()

    def _tell(self, descriptor: int, fileobj: object, events: int) -> None:
        """Let the system know what to report, unless it knows."""
        kept = self._kept.get(descriptor)
        if kept is not None and kept[0] is fileobj and kept[1] == events:
            return
        mask = (EPOLLIN if events & EVENT_READ else 0) | (EPOLLOUT if events & EVENT_WRITE else 0)
        try:
            self._epoll.register(descriptor, mask)
        except FileExistsError:
            self._epoll.modify(descriptor, mask)
        self._kept[descriptor] = (fileobj, events)

    def _drop(self, descriptor: int) -> None:
        del self._kept[descriptor]
        try:
            self._epoll.unregister(descriptor)
        except OSError:
            # The descriptor was closed, with which the system has forgotten it.
            return


def make_selector() -> KeepingSelector:
    """Return a selector that waits for nothing."""
    return KeepingSelector()


def _descriptor_of(fileobj: object) -> int:
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()


def _limit(timeout: float | None) -> float:
    """Return seconds in whole milliseconds, rounded up, so that no wait ends too soon."""
    if timeout is None:
        return NO_LIMIT
    return ceil(max(timeout, 0.0) * MS_PER_S) / MS_PER_S
