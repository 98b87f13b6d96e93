"""A proxy before a worker that carries out orders late, as PROTOCOL says they may be.

It passes all calls on. While `held_calls` is above 0, an order to start a task is kept
for `held_s` seconds and then passed on; its sender gets no answer.
"""

from __future__ import annotations

import asyncio
import json

import click
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.web import Application, RequestHandler

CALL_TIMEOUT_S = 5.0
PASSED_ON = ("Expect-Instance", "Content-Type")


class _State:
    def __init__(self, target: int) -> None:
        self.target = target
        self.held_s = 0.0
        self.held_calls = 0


class _Switches(RequestHandler):
    def initialize(self, state: _State) -> None:
        self.state = state

    def post(self) -> None:
        for name, value in json.loads(self.request.body).items():
            setattr(self.state, name, value)
        self.finish({})


class _Passed(RequestHandler):
    def initialize(self, state: _State) -> None:
        self.state = state

    async def post(self) -> None:
        state, request = self.state, self.request
        if request.path == "/run-start" and state.held_calls > 0:
            state.held_calls -= 1
            print(json.dumps({"held": json.loads(request.body)}), flush=True)
            loop = asyncio.get_running_loop()
            loop.call_later(state.held_s, self._pass_on_late)
            await asyncio.sleep(state.held_s + CALL_TIMEOUT_S)
            return
        try:
            answer = await self._pass_on()
        except OSError:
            request.connection.stream.close()
            return
        self.set_status(answer.code)
        self.finish(answer.body)

    def _pass_on_late(self) -> None:
        task = asyncio.ensure_future(self._pass_on())
        task.add_done_callback(_log_answer)

    async def _pass_on(self):
        headers = {
            name: self.request.headers[name]
            for name in PASSED_ON
            if name in self.request.headers
        }
        url = f"http://127.0.0.1:{self.state.target}{self.request.path}"
        call = HTTPRequest(
            url,
            "POST",
            headers,
            self.request.body,
            request_timeout=CALL_TIMEOUT_S,
        )
        return await AsyncHTTPClient().fetch(call, raise_error=False)


def _log_answer(task: asyncio.Task) -> None:
    line = {"carried_out": repr(task.exception())}
    if task.exception() is None:
        answer = task.result()
        line = {"carried_out": answer.code, "body": (answer.body or b"").decode()}
    print(json.dumps(line), flush=True)


async def _serve(port: int, target: int) -> None:
    args = {"state": _State(target)}
    app = Application([("/held", _Switches, args), ("/.*", _Passed, args)])
    app.listen(port, "127.0.0.1")
    await asyncio.Event().wait()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--target", type=int, required=True, help="Port of the worker.")
def main(port: int, target: int) -> None:
    """Pass calls on until ended."""
    asyncio.run(_serve(port, target))


if __name__ == "__main__":
    main()
