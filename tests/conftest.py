"""Generated tests take the same path every time: CI must give one verdict."""

import signal

from hypothesis import settings

from limenotch.logs import configure

settings.register_profile("steady", derandomize=True, deadline=None, max_examples=150, database=None)
settings.load_profile("steady")
# Log lines go to the standard library's logging whichever test runs alone, not only after one that has set it up.
configure("human", "info", "test")
# A shell that starts the tests in the background has them ignore Ctrl-C, and so would all that they start.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)
