"""Look-ups: which entry VMs a caller uses, in order."""

from .answer import AnswerError, AnswerVm, LookupAnswer, make_answer
from .blocks import AddressBlock, AddressBlockTable, CallerLocation, load_blocks
from .ordering import ORDERINGS, EntryVm, Fleet, LookupQuery, order_vms, prepare_fleet

__all__ = [
    "ORDERINGS",
    "AddressBlock",
    "AddressBlockTable",
    "AnswerError",
    "AnswerVm",
    "CallerLocation",
    "EntryVm",
    "Fleet",
    "LookupAnswer",
    "LookupQuery",
    "load_blocks",
    "make_answer",
    "order_vms",
    "prepare_fleet",
]
