"""Position in the table's feed of changes, which is valid in one generation of the table only."""

from msgspec import Struct

from pollenbay.ids import RowVersion, TableGeneration


class FeedPosition(Struct, frozen=True):
    """Version up to which the changes are known.

    :param generation: generation of the table in which the version was given out; None if the table
        does not state it.
    """

    generation: TableGeneration | None
    version: RowVersion

    def continues(self, previous: "FeedPosition") -> bool:
        """Return whether no change can be missing between a previous position and this one.

        A table that came back from an older copy gives out versions again, so there may be changes
        at versions that the previous position counts as known.
        """
        return self.generation == previous.generation and self.version >= previous.version
