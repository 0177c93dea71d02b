"""The emulator: the model on loopback sockets in real time, with providers and a directory that speak the protocol.

- `wire.py`: HTTP/1.1 server and client connections as asyncio protocols, with the program's own parsers.
- `providers.py`, `directory.py`: the model's providers and directories behind listeners.
- `sidecars.py`: starts, monitors and ends unchanged `limenotch serve` processes.
- `load.py`: open-loop clients.
- `host.py`: a complete rehearsal.

Every listener is on 127.0.0.1, on a port that the kernel chooses, so runs do not collide with other programs.
"""
