"""A selector that keeps descriptors registered with the kernel between two waits.

A task that serves a call waits alternately for its caller's connection and for that of another
node, and the event loop registers and removes a descriptor for each wait: four system calls for
each call at each node. With this selector a descriptor for which no task waits stays registered
until it reports an event or is reused for another connection.
"""

from collections.abc import Mapping
from math import ceil
from select import EPOLLIN, EPOLLOUT, epoll
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector, SelectorKey

MS_PER_S = 1000.0
NO_TIMEOUT = -1


class PersistentSelector(BaseSelector):
    """Behaves like the standard library's `EpollSelector`, with fewer system calls."""

    def __init__(self) -> None:
        self._epoll = epoll()
        self._keys: dict[int, SelectorKey] = {}
        #: File object and events registered with the kernel for each descriptor, including those
        #: for which no task waits.
        self._registered: dict[int, tuple[object, int]] = {}

    def register(self, fileobj: object, events: int, data: object = None) -> SelectorKey:
        """Start waiting for a file object.

        :raises KeyError: if it is already waited for.
        """
        descriptor = _descriptor_of(fileobj)
        if descriptor in self._keys:
            raise KeyError(descriptor)
        key = SelectorKey(fileobj, descriptor, events, data)
        self._update_registration(descriptor, fileobj, events)
        self._keys[descriptor] = key
        return key

    def unregister(self, fileobj: object) -> SelectorKey:
        """Stop waiting for a file object.

        A bare descriptor is also removed from the kernel, since its number may soon be reused for
        another file.

        :raises KeyError: if it is not waited for.
        """
        key = self._keys.pop(_descriptor_of(fileobj))
        if isinstance(key.fileobj, int):
            self._unregister(key.fd)
        return key

    def modify(self, fileobj: object, events: int, data: object = None) -> SelectorKey:
        """Change the events for which a file object is waited for.

        :raises KeyError: if it is not waited for.
        """
        key = self._keys[_descriptor_of(fileobj)]
        if events != key.events:
            self._update_registration(key.fd, key.fileobj, events)
        changed = key._replace(events=events, data=data)
        self._keys[key.fd] = changed
        return changed

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Wait for events and return them; unregister descriptors for which no task waits.

        :param timeout: maximum wait in seconds; None for no limit.
        """
        ready = []
        for descriptor, events in self._epoll.poll(
            _round_up_timeout(timeout), max(len(self._registered), 1)
        ):
            key = self._keys.get(descriptor)
            if key is None:
                self._unregister(descriptor)
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
        """Return the keys of all files waited for, by descriptor."""
        return self._keys

    def close(self) -> None:
        """Close the epoll descriptor and drop all keys."""
        self._epoll.close()
        self._keys.clear()
        self._registered.clear()

    def _update_registration(self, descriptor: int, fileobj: object, events: int) -> None:
        """Register the events with the kernel, unless they already are for this file object."""
        registered = self._registered.get(descriptor)
        if registered is not None and registered[0] is fileobj and registered[1] == events:
            return
        mask = (EPOLLIN if events & EVENT_READ else 0) | (EPOLLOUT if events & EVENT_WRITE else 0)
        try:
            self._epoll.register(descriptor, mask)
        except FileExistsError:
            self._epoll.modify(descriptor, mask)
        self._registered[descriptor] = (fileobj, events)

    def _unregister(self, descriptor: int) -> None:
        del self._registered[descriptor]
        try:
            self._epoll.unregister(descriptor)
        except OSError:
            # Closing a descriptor removes it from epoll.
            return


def make_selector() -> PersistentSelector:
    """Return a selector without registered files."""
    return PersistentSelector()


def _descriptor_of(fileobj: object) -> int:
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()


def _round_up_timeout(timeout: float | None) -> float:
    """Return seconds rounded up to milliseconds, so that no wait ends too early."""
    if timeout is None:
        return NO_TIMEOUT
    return ceil(max(timeout, 0.0) * MS_PER_S) / MS_PER_S
