"""Look-ups: which entry VMs a caller uses, in order."""

from .answer import AnswerError, AnswerVm, LookupAnswer, make_answer
from .blocks import BlockRow, BlockTable, Site, load_blocks
from .order import ORDERS, EntryVm, Fleet, LookupQuery, order_vms, prepare_fleet

__all__ = [
    "ORDERS",
    "AnswerError",
    "AnswerVm",
    "BlockRow",
    "BlockTable",
    "EntryVm",
    "Fleet",
    "LookupAnswer",
    "LookupQuery",
    "Site",
    "load_blocks",
    "make_answer",
    "order_vms",
    "prepare_fleet",
]
