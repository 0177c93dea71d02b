"""The model on loopback sockets in real time: providers and a directory that speak the platform's protocol.

- `wire.py`: HTTP/1.1 connections of both sides over asyncio protocols, with the program's own parsers.
- `providers.py`, `directory.py`: the model's providers and directories behind listeners.
- `sidecars.py`: unchanged `limenotch serve` processes, started, watched and ended.
- `load.py`: open-loop clients.
- `host.py`: one rehearsal, put together.

Every listener is on 127.0.0.1 and every port is the kernel's choice, so that nothing collides with others.
"""
