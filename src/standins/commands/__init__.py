"""Everything that changes the state of a stand-in."""
