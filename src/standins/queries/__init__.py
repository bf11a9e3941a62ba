"""Everything that only reads the state of a stand-in."""
