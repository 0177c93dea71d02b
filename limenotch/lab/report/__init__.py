"""Reports: a self-contained HTML page per run or comparison, and its plots as PNG, made from the JSON results alone.

`plots.py` draws (Matplotlib), `page.py` lays out (Jinja2). Pages contain no links and no scripts, and are
readable on a phone.
"""

from .page import write_comparison, write_run

__all__ = ["write_comparison", "write_run"]
