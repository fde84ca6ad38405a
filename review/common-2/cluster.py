"""Starts replicas and entries of ebonypond with the commands of the deploy file, on loopback addresses."""
import asyncio, json, os, pathlib, shutil, signal, socket, subprocess, tempfile, time, tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROLES = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catchup_s": 4, "drain_ms": 2000,
          "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
          "strict_revoke": False, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "budget_slack": 132,
          "cold_overshoot": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "pass_ms": 120,
          "retry_after_s": 0, "stall_ms": 5000, "require_fencing": True, "ceiling_window_s": 5, "origin_overshoot": 1.1}


def free_ports(count):
    socks = []
    for _ in range(count):
        s = socket.socket()
        s.bind(('127.0.0.1', 0))
        socks.append(s)
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


class Cluster:
    def __init__(self, entries=2, replicas=3, zones=('a', 'b', 'c')):
        self.tmp = pathlib.Path(tempfile.mkdtemp(prefix='ebonypond-case-'))
        self.zones = list(zones)
        self.front, self.ready, self.control, peer, relay = free_ports(5)
        # Processes use the first port of the range for messages and the second to relay connections.
        while relay != peer + 1:
            peer = free_ports(1)[0]
            s = socket.socket()
            try:
                s.bind(('127.0.0.1', peer + 1))
                relay = peer + 1
            except OSError:
                pass
            finally:
                s.close()
        self.range = [peer, relay]
        self.base = 10 + os.getpid() % 80
        self.replicas = [f'127.0.{self.base}.{i + 1}' for i in range(replicas)]
        self.entries = [f'127.0.{self.base}.{i + 101}' for i in range(entries)]
        self.procs = {}
        self.born = {}

    def settings(self, ip):
        entry = ip in self.entries
        index = (self.entries if entry else self.replicas).index(ip)
        name = ('front-' if entry else 'core-') + str(index + 1)
        s = {"node_name": name, "role": "entry" if entry else "replica", "machine_class": "front" if entry else "core",
             "serves": ["front"] if entry else ["control"], "ip": ip, "zone": self.zones[index % len(self.zones)], "region": "r",
             "zones": {z: "r" for z in self.zones},
             "listen": {"front": f"{ip}:{self.front}", "ready_addr": f"{ip}:{self.ready}"} if entry else {"control": f"{ip}:{self.control}"},
             "port_range": self.range, "seeds": [f"{r}:{self.control}" for r in self.replicas[:3]], "bootstrap": True,
             "loss_counts": not entry,
             "limits": {"cpu_share": 0.75, "cores": 1, "memory_mb": 430, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0 if entry else 128},
             "data_dir": None if entry else str(self.tmp / name / 'data'), "discovery": "register", "entry": "vip",
             "heartbeat_ms": 1200,
             "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "gangs"],
             "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "config_mode": "highest"}
        return name, s

    def start(self, ip):
        name, s = self.settings(ip)
        d = self.tmp / name
        (d / 'data').mkdir(parents=True, exist_ok=True)
        (d / 'local.json').write_text(json.dumps(s))
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'JAVA_HOME', 'LANG') if k in os.environ}
        env['EBONYPOND_SETTINGS'] = str(d / 'local.json')
        log = open(d / 'log', 'ab')
        self.procs[ip] = subprocess.Popen(ROLES[s['role']]['run'].split(), cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True)
        return self.procs[ip]

    def start_all(self):
        for ip in self.replicas + self.entries:
            self.start(ip)

    def log(self, ip):
        return (self.tmp / self.settings(ip)[0] / 'log').read_text(errors='replace')

    def rss_mb(self, ip):
        for l in open(f'/proc/{self.procs[ip].pid}/status'):
            if l.startswith('VmRSS'):
                return int(l.split()[1]) // 1024

    def stop(self):
        for p in self.procs.values():
            if p.poll() is None:
                try:
                    p.send_signal(signal.SIGCONT)
                except ProcessLookupError:
                    pass
                p.kill()
        for p in self.procs.values():
            p.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)

    async def call(self, ip, method, path, body=None, timeout=2.0):
        """One call of the control interface; returns (status, text), or None without an answer."""
        data = b'' if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
        try:
            r, w = await asyncio.wait_for(asyncio.open_connection(ip, self.control), timeout)
        except (OSError, asyncio.TimeoutError):
            return None
        try:
            w.write(f'{method} {path} HTTP/1.1\r\nHost: {ip}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n'.encode() + data)
            raw = await asyncio.wait_for(r.read(), timeout)
            if not raw:
                return None
            head, _, text = raw.partition(b'\r\n\r\n')
            return int(head.split()[1]), text.decode()
        except (OSError, asyncio.TimeoutError):
            return None
        finally:
            w.close()

    async def order(self, method, path, body=None, seconds=15):
        """Sends an order as the operator does, to one replica after the other, until it is answered."""
        end = time.monotonic() + seconds
        i = 0
        while time.monotonic() < end:
            a = await self.call(self.replicas[i % len(self.replicas)], method, path, body)
            i += 1
            if a and a[0] < 500:
                return a
            await asyncio.sleep(0.2)
        return None

    async def until_ready(self, seconds=25):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ok = 0
            for ip in self.entries:
                try:
                    r, w = await asyncio.open_connection(ip, self.ready)
                    w.write(b'GET /ebonypond/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
                    ok += b' 200 ' in await asyncio.wait_for(r.readline(), 1)
                    w.close()
                except (OSError, asyncio.TimeoutError):
                    pass
            if ok == len(self.entries):
                return True
            await asyncio.sleep(0.2)
        return False


def config(version, routes, services, tenants=None):
    c = {"version": version, "routes": routes, "services": services,
         "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if tenants is not None:
        c['tenants'] = tenants
    return c


def service(name):
    return {"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False, "warmup_s": 0.0, "cold_per_s": 0.0}


def route(name, prefix, kind, svc, timeout_ms=4000, slo_ms=386, attempts=2, **more):
    return {"name": name, "host": "keg.example", "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms, "slo_ms": slo_ms,
            "priority": 2, "service": svc, "attempts": attempts, "public": True, "sticky": False, **more}


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the seconds since its start."""
    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self.t0 = time.monotonic()

    def __call__(self, text):
        print(f'{time.monotonic() - self.t0:7.2f} {text}', file=self.file, flush=True)


def run(folder, case, seconds=100):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    note = Record(folder)
    cluster = []

    def make(**more):
        cluster.append(Cluster(**more))
        return cluster[-1]

    def ended(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, ended)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        code = asyncio.run(asyncio.wait_for(case(make, note, trouble), seconds))
    except (Exception, KeyboardInterrupt) as e:  # the case could not run
        note(f'the case could not run: {type(e).__name__} {e}')
        code = 2
    finally:
        for c in cluster:
            c.stop()
    note({0: 'the rule held', 1: 'the rule was broken', 2: 'the case could not run'}[code])
    os._exit(code)


class Worker:
    """A plain worker. `behave(request, reader, writer)` may answer in place of the sound behaviour."""
    def __init__(self, cluster, ident, svc, zone, ip='127.0.0.1', slots=18):
        self.c, self.id, self.svc, self.zone, self.slots = cluster, ident, svc, zone, slots
        self.ip, self.seq, self.state = ip, 0, 'ready'
        self.born = int(time.time() * 1000)
        self.runs = []
        self.behave = None
        self.work = 0.02
        self.seen = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.seq += 1
            b = {"service": self.svc, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": self.state, "cold_left_ms": 0, "stage": "both", "models": [], "born": self.born, "seq": self.seq}
            for r in self.c.replicas:
                a = await self.c.call(r, 'PUT', f'/ebonypond/instances/{self.id}', b, 1.0)
                if a and a[0] == 200:
                    break
            await asyncio.sleep(1.2)

    async def serve(self, r, w):
        try:
            while True:
                line = await r.readline()
                if not line:
                    break
                method, target, _ = line.decode('latin-1').split(' ', 2)
                h = {}
                while (l := await r.readline()) not in (b'\r\n', b''):
                    k, _, v = l.decode('latin-1').partition(':')
                    h[k.strip().lower()] = v.strip()
                body = await r.readexactly(int(h.get('content-length', 0)))
                q = dict(method=method, target=target, raw=line, headers=h, body=body, at=time.monotonic())
                self.seen.append(q)
                if target == '/health':
                    w.write(f'HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n'.encode())
                    continue
                if h.get('expect-instance', self.id) != self.id:
                    w.write(b'HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\nAttempt-Id: %s\r\n\r\n' % h.get('attempt-id', '').encode())
                    continue
                self.runs.append(q)
                if self.behave and await self.behave(self, q, r, w):
                    break
                await asyncio.sleep(self.work)
                out = b'answer of ' + self.id.encode() + b' to ' + h.get('attempt-id', '').encode()
                w.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {h.get('attempt-id', '')}\r\nOrigin-Seal: seal.{self.id}\r\nContent-Length: {len(out)}\r\n\r\n".encode() + out)
                await w.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            w.close()


async def request(ip, port, method, target, ident, body=b'', deadline=4000, headers=(), timeout=6):
    """One request on a new connection; returns (status, headers, body), or None if the connection ends without an answer."""
    try:
        r, w = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        t = target if isinstance(target, bytes) else target.encode()
        head = method.encode() + b' ' + t + f' HTTP/1.1\r\nHost: keg.example\r\nAttempt-Id: {ident}\r\nDeadline-Ms: {deadline}\r\n'.encode()
        for k, v in headers:
            head += f'{k}: {v}\r\n'.encode()
        if body or method == 'POST':
            head += f'Content-Length: {len(body)}\r\n'.encode()
        w.write(head + b'\r\n' + body)
        return await asyncio.wait_for(answer(r), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        w.close()


async def answer(r):
    line = await r.readline()
    if not line:
        return None
    status = int(line.split()[1])
    h = {}
    while (l := await r.readline()) not in (b'\r\n', b''):
        k, _, v = l.decode('latin-1').partition(':')
        h[k.strip().lower()] = v.strip()
    if h.get('transfer-encoding') == 'chunked':
        body = b''
        while True:
            n = int((await r.readline()).split(b';')[0], 16)
            body += await r.readexactly(n)
            await r.readline()
            if n == 0:
                break
    else:
        body = await r.readexactly(int(h.get('content-length', 0)))
    return status, h, body
