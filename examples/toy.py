#!/usr/bin/env python3
"""A toy deployment to try poppyscale with: discovery, three caches and a slow origin in one process.

    examples/toy.py serve                  plays the deployment on loopback, as examples/config.json expects it
    examples/toy.py get KEY                asks the router for a key
    examples/toy.py set KEY VALUE          writes one, through the router, to the origin

Nothing here is measured or tuned: it only speaks the protocol, so that a router can be watched at work.
"""
import asyncio
import json
import secrets
import socket
import sys

ROUTER = ("127.0.0.1", 7379)
DISCOVERY = 7500
ORIGIN = 7600
CACHES = {"cache-a": 7601, "cache-b": 7602, "cache-c": 7603}

stored = {name: {} for name in CACHES}
missed = {}  # id of a command -> the caches that lacked its key
origin = {}


def bulk(text):
    return b"$-1\r\n" if text is None else b"$%d\r\n%s\r\n" % (len(text), text)


async def words(reader):
    """One command: an array of bulk strings. None at the end of the connection."""
    head = await reader.readline()
    if not head:
        return None
    out = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        out.append((await reader.readexactly(size + 2))[:-2])
    return out


def cache(name):
    async def talk(reader, writer):
        while (command := await words(reader)) is not None:
            if command[0].upper() == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            _, key, call, *_ = command
            value = stored[name].get(key)
            if value is None:
                missed.setdefault(call, set()).add(name)
            print(f"{name:8} {key.decode():12} {'miss' if value is None else 'hit'}", flush=True)
            await asyncio.sleep(0.01)
            note = b"miss" if value is None else b"hit"
            writer.write(b"*3\r\n" + bulk(value) + bulk(note) + bulk(None))
            await writer.drain()
        writer.close()

    return talk


async def http_call(reader):
    """Method, path, headers and body of one call. None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, path, _ = line.decode().split(" ", 2)
    headers = {}
    while (line := (await reader.readline()).strip()):
        name, value = line.decode().split(":", 1)
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, path, headers, body


def http_answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def store(reader, writer):
    while (call := await http_call(reader)) is not None:
        method, path, headers, body = call
        key = path[1:].encode()
        print(f"{'origin':8} {key.decode():12} {method}", flush=True)
        await asyncio.sleep(0.08)
        if method == "PUT":
            origin[key] = body
            for kept in stored.values():
                kept.pop(key, None)
            writer.write(http_answer(b"receipt-" + secrets.token_hex(4).encode()))
        else:
            value = origin.get(key, b"value-of-" + key)
            for name in missed.pop(headers.get("x-call-id", "").encode(), ()):
                stored[name][key] = value
            writer.write(http_answer(value))
        await writer.drain()
    writer.close()


async def discovery(reader, writer):
    servers = [
        {"id": name, "addr": f"127.0.0.1:{port}", "zone": "a", "kind": kind, "cell": 0,
         "state": "Ready", "weight": 1.0, "started_ms": 0}
        for name, port, kind in [(n, p, "small") for n, p in CACHES.items()] + [("origin", ORIGIN, "origin")]
    ]
    while (call := await http_call(reader)) is not None:
        query = dict(p.split("=") for p in call[1].partition("?")[2].split("&") if p)
        news = query.get("after") != "1"
        if not news:  # this list never changes
            await asyncio.sleep(int(query.get("wait_ms", 0)) / 1000)
        answer = {"version": 1, "full": news, "servers": servers if news else []}
        writer.write(http_answer(json.dumps(answer).encode()))
        await writer.drain()
    writer.close()


async def serve():
    doors = [(DISCOVERY, discovery), (ORIGIN, store)] + [(port, cache(name)) for name, port in CACHES.items()]
    servers = [await asyncio.start_server(talk, "127.0.0.1", port) for port, talk in doors]
    print("the toy deployment is up; stop it with Ctrl-C", flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


def ask(command):
    with socket.create_connection(ROUTER, timeout=5) as connection:
        connection.sendall(b"*%d\r\n" % len(command) + b"".join(bulk(word) for word in command))
        answers = connection.makefile("rb")
        head = answers.readline()
        if head.startswith(b"$") and head != b"$-1\r\n":
            return answers.read(int(head[1:])).decode()
        return head.decode().strip()


def main(arguments):
    call = secrets.token_hex(8).encode()
    match arguments:
        case ["serve"]:
            try:
                asyncio.run(serve())
            except KeyboardInterrupt:
                pass
        case ["get", key]:
            print(ask([b"OBJ.GET", key.encode(), call, b"c=read,t=acme,d=2000"]))
        case ["set", key, value]:
            info = b"c=put,t=acme,d=2500,k=" + secrets.token_hex(8).encode()
            print(ask([b"OBJ.SET", key.encode(), call, info, value.encode()]))
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main(sys.argv[1:])
