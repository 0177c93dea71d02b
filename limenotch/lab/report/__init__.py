"""Reports: one self-contained HTML page a run or a comparison, the same plots as PNG, made of the JSON figures alone.

`plots.py` draws (Matplotlib), `page.py` lays out (Jinja2). Pages hold no links and no scripts; they are read on a
phone the morning after.
"""

from .page import write_comparison, write_run

__all__ = ["write_comparison", "write_run"]
