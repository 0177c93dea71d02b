"""The model of a deployment, as state machines that get the time as an argument.

No state machine does I/O, reads a clock or sets a timer. A host passes events with their time (`now`, in ms), calls
`run` at the time that `next_event_ms` gives, and carries out the effects that are returned. The hosts, which are the
simulator and the emulator, differ in their clock and in their transport of messages. Every behaviour of a provider,
a directory, the network or a client is here.
"""
