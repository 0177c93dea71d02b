"""The model of a deployment, as state machines that are told the time.

No part of it does I/O, reads a clock or sets a timer. A host tells a part what happens and when (`now`, in ms),
asks it when it must be woken (`due`), and carries out the effects it gives back. Hosts differ in what time is and
in what carries the messages; every behaviour of a provider, the directory, the network or a client lives here.
"""
