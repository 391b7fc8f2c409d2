"""Order of the versions of the platform's store across its restores from a copy."""

from .versions import MAX_ERA, MAX_NUMBER, era_of, number_of, version_of

__all__ = ["MAX_ERA", "MAX_NUMBER", "era_of", "number_of", "version_of"]
