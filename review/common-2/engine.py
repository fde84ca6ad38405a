"""A model worker that follows the pages on groups: join, open, close, leave and stage, reports and heartbeats."""
import asyncio, json, time

import cluster


class Engine(cluster.Worker):
    """`unanswered(order)` returns None, or a coroutine function that ends when a late order is to be carried out."""
    LOAD_S, WARM_S, AGAIN_S, FORM_S, STALL_S = 1.6, 1.6, 0.2, 0.3, 5.0

    def __init__(self, c, ident, svc, zone, domain, fleet, note, **more):
        super().__init__(c, ident, svc, zone, **more)
        self.domain, self.fleet, self.note = domain, fleet, note
        self.group = None          # name, epoch, members, model, state
        self.last_model, self.staged, self.highest = '', [], -1
        self.late = None
        self.orders = 0
        self.breaks = []
        self.changed = asyncio.Event()
        self.alive = True
        fleet[ident] = self

    def membership(self):
        g = self.group
        return None if g is None else {"name": g['name'], "epoch": g['epoch'], "rank": g['members'].index(self.id), "state": g['state']}

    def report(self):
        g = self.membership()
        return {"stage": "both", "models": [{"name": self.group['model'], "version": 1, "adapters": []}] if g and g['state'] != 'joining' else [],
                "domain": self.domain, "staged": self.staged, **({"group": g} if g else {})}

    async def beat(self):
        """A heartbeat each 1.2 s and right after each change, to one replica after the other until one acknowledges it."""
        first = 0
        while True:
            self.changed.clear()
            self.seq += 1
            b = {"service": self.svc, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": self.state, "cold_left_ms": 0, "born": self.born, "seq": self.seq, **self.report()}
            for k in range(len(self.c.replicas)):
                a = await self.c.call(self.c.replicas[(first + k) % len(self.c.replicas)], 'PUT', f'/ebonypond/instances/{self.id}', b, 1.0)
                if a and a[0] == 200:
                    first = (first + k) % len(self.c.replicas)
                    break
            try:
                await asyncio.wait_for(self.changed.wait(), 1.2)
            except asyncio.TimeoutError:
                pass

    def crash(self):
        """The process of the worker is gone for good."""
        self.alive = False
        self.beats.cancel()
        self.server.close()
        self.note(f'{self.id} has ended')
        if self.group:
            self.lost(self.group)

    def leave(self):
        """The worker is emptied: it reports that it drains, and is gone some seconds later."""
        self.state = 'draining'
        self.note(f'{self.id} begins to drain')
        self.changed.set()
        self.leaving = asyncio.create_task(self.end())

    async def end(self):
        await asyncio.sleep(8)
        for r in self.c.replicas:
            a = await self.c.call(r, 'DELETE', f'/ebonypond/instances/{self.id}')
            if a and a[0] == 200:
                break
        self.crash()

    def lost(self, g):
        """The head of a group that misses a member is broken after the stall time."""
        head = self.fleet[g['members'][0]]
        if head is not self or not self.alive:
            asyncio.get_running_loop().call_later(self.STALL_S, head.check, g['name'], g['epoch'])

    def check(self, name, epoch):
        g = self.group
        if g and (g['name'], g['epoch']) == (name, epoch) and g['members'][0] == self.id and g['state'] in ('ready', 'open', 'closing'):
            for m in g['members'][1:]:
                o = self.fleet[m]
                if not o.alive or not o.group or (o.group['name'], o.group['epoch']) != (name, epoch):
                    if g['state'] != 'ready':
                        self.set(g, 'broken')
                    return

    def set(self, g, state):
        g['state'] = state
        self.note(f"{self.id} is {state} in {g['name']} epoch {g['epoch']}")
        self.changed.set()

    def carry_out(self, o):
        op, name, epoch = o['op'], o.get('group'), o.get('epoch')
        g = self.group
        mine = g is not None and (g['name'], g['epoch']) == (name, epoch)
        if op == 'stage':
            if o['model'] in self.staged:
                return 200
            asyncio.get_running_loop().call_later(self.LOAD_S, self.stage, o['model'])
            return 202
        if op == 'join':
            if epoch < self.highest or (mine and g['members'] != o['members']):
                return 412
            if mine:
                return 200
            if g is not None:
                head = self.fleet[g['members'][0]]
                h = head.group
                serving = h and (h['name'], h['epoch']) == (g['name'], g['epoch']) and h['members'][0] == head.id and h['state'] in ('open', 'closing')
                if head.alive and serving:
                    self.breaks.append(f"{self.id} takes a join of {name} epoch {epoch} while the head {head.id} of its group {g['name']} epoch {g['epoch']} is {h['state']}")
                    self.note('TWO: ' + self.breaks[-1])
                self.lost(g)
            self.highest = epoch
            self.group = n = dict(name=name, epoch=epoch, members=o['members'], model=o['model'])
            self.set(n, 'joining')
            s = self.AGAIN_S if self.last_model == o['model'] else self.WARM_S if o['model'] in self.staged else self.LOAD_S
            asyncio.get_running_loop().call_later(s, self.joined, n)
            return 202
        if op == 'leave':
            if not mine:
                return 200
            self.note(f'{self.id} leaves {name} epoch {epoch}')
            self.group = None
            self.lost(g)
            self.changed.set()
            return 202
        if op in ('open', 'close'):
            if not mine or g['members'][0] != self.id:
                return 409
            if op == 'open':
                if g['state'] == 'open':
                    return 200
                if g['state'] != 'ready':
                    return 409
                asyncio.get_running_loop().call_later(self.FORM_S, self.opened, g)
                return 202
            if g['state'] in ('open', 'closing'):
                self.set(g, 'ready')
            return 200
        return 400

    def stage(self, model):
        self.staged = [model]
        self.changed.set()

    def joined(self, g):
        if self.group is g and g['state'] == 'joining':
            self.last_model, self.staged = g['model'], [g['model']]
            self.set(g, 'ready')

    def opened(self, g):
        if self.group is g and g['state'] == 'ready':
            self.set(g, 'open')
            # Members that are missing already are noticed from now on.
            asyncio.get_running_loop().call_later(self.STALL_S, self.check, g['name'], g['epoch'])

    async def serve(self, r, w):
        try:
            while self.alive:
                line = await r.readline()
                if not line:
                    break
                method, target, _ = line.decode('latin-1').split(' ', 2)
                h = {}
                while (l := await r.readline()) not in (b'\r\n', b''):
                    k, _, v = l.decode('latin-1').partition(':')
                    h[k.strip().lower()] = v.strip()
                body = await r.readexactly(int(h.get('content-length', 0)))
                if h.get('expect-instance', self.id) != self.id:
                    status, text = 421, {}
                elif target == '/ebonypond/order':
                    o = json.loads(body)
                    self.orders += 1
                    wait = self.late(self, o) if self.late else None
                    what = f"{self.id} gets {o['op']} {o.get('group', o.get('model'))} epoch {o.get('epoch')} fence {o.get('fence')}"
                    if wait:
                        self.note(what + ': no answer')
                        asyncio.create_task(self.carry_out_late(o, wait, time.monotonic()))
                        await asyncio.sleep(30)
                        break
                    status, text = self.carry_out(o), {}
                    self.note(f'{what}: {status}')
                elif target == '/ebonypond/report':
                    status, text = 200, {**self.report(), "busy": False, "seq": self.orders, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 969230, "handles": 0}
                else:
                    status, text = 200, {}
                out = json.dumps(text).encode()
                w.write(f'HTTP/1.1 {status} X\r\nInstance-Id: {self.id}\r\nContent-Type: application/json\r\nContent-Length: {len(out)}\r\n\r\n'.encode() + out)
                await w.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            w.close()

    async def carry_out_late(self, o, wait, at):
        await wait
        if self.alive:
            status = self.carry_out(o)
            self.note(f"{self.id} carries out {o['op']} {o.get('group')} epoch {o.get('epoch')} {time.monotonic() - at:.1f} s after it came: {status}")
