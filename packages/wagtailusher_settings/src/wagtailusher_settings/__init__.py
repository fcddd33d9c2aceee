"""The tree of settings: inheritance, validation, revisions."""
