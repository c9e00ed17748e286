// The operator raises `max-header-bytes`, and the change is acknowledged. Clients that hold connections from before, rested
// well inside the time for which clients take them up again, send requests whose headers are inside the new limit.
import { connect } from 'node:net';
import { bounds, createOperator, now, pause, runCase, startFleet, startServer, zones } from '../lib/fleet.mjs';

const host = 'review.example';
const service = 'officine-api';
const lowBytes = 8192;
const highBytes = 16_384;
const headerBytes = 12_000;
const idleMs = 15_000;
const clientsPerFront = 8;

const configurationOf = (revision, maxHeaderBytes) => ({
  revision,
  'route-table': [
    { name: 'r-1', 'origin-host': host, 'path-prefix': '/stock/', 'route-class': 'safe', 'timeout-ms': 3000,
      'target-latency-ms': 321, priority: 2, 'target-service': service, 'max-attempts': 2, affinity: false,
      resumable: false, 'home-regions': [] },
  ],
  services: [{ name: service, 'health-path': '/health', 'max-connections': 110, protocol: 'h1', tls: false }],
  limits: { 'max-header-bytes': maxHeaderBytes, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': idleMs },
});

/** A client with one connection, over which it sends one request at a time. */
const createClient = (address) =>
  new Promise((done, fail) => {
    const [at, port] = address.split(':');
    const socket = connect({ host: at, port: Number(port) });
    let text = '';
    let answered;
    const check = () => {
      const cut = text.indexOf('\r\n\r\n');
      if (cut < 0 || !answered) return;
      const head = text.slice(0, cut);
      const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (text.length < cut + 4 + length) return;
      text = text.slice(cut + 4 + length);
      const resolve = answered;
      answered = undefined;
      resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]));
    };
    socket.on('data', (data) => {
      text += data.toString('latin1');
      check();
    });
    socket.on('error', fail);
    socket.on('close', () => answered?.('closed'));
    socket.on('connect', () =>
      done({
        isOpen: () => !socket.destroyed,
        close: () => socket.destroy(),
        ask: (id, padding) =>
          new Promise((resolve) => {
            answered = resolve;
            const head = `GET /stock/1 HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: ${id}\r\nRemaining-Time: 3000\r\n`;
            socket.write(`${head}${padding > 0 ? `X-Context: ${'x'.repeat(padding - head.length - 17)}\r\n` : ''}\r\n`);
          }),
      }),
    );
  });

await runCase(process.argv[2], async ({ record, isTrouble }) => {
  const fleet = await startFleet({ record });
  const servers = [];
  try {
    for (const [index, place] of Object.keys(zones).entries())
      servers.push(await startServer({
        instance: `i-${index + 1}`, service, zone: place, address: fleet.serverAddress(place, 1), list: fleet.list, record,
        work({ outgoing, head, id }) {
          const text = `stock for ${id}`;
          outgoing.writeHead(200, { ...head, 'content-type': 'text/plain', 'content-length': text.length });
          outgoing.end(text);
        },
      }));
    const order = createOperator(record);
    const put = (revision, base, limit, withinMs) =>
      order(`configuration ${revision} with max-header-bytes ${limit}`, fleet.controls, {
        path: '/configuration/replace', body: Buffer.from(JSON.stringify(configurationOf(revision, limit))),
        headers: { 'base-revision': String(base) },
      }, withinMs);
    await put(1, 0, isTrouble ? lowBytes : highBytes, 30_000);
    await fleet.ready();
    await pause(bounds['contact-ms'] + 1000);
    const clients = [];
    for (const front of fleet.fronts)
      for (let number = 0; number < clientsPerFront; number += 1)
        clients.push({ front, ...(await createClient(front.address)) });
    for (const [index, client] of clients.entries()) {
      const status = await client.ask(`first-${index}`, 0);
      if (status !== 200) throw new Error(`the first request got ${status}`);
    }
    const restedFrom = now();
    const acknowledgedAt = isTrouble ? await put(2, 1, highBytes) : now();
    await pause(acknowledgedAt + bounds['config-apply-ms'] + 2000 - now());
    const restedMs = Math.round(now() - restedFrom);
    if (restedMs > 0.8 * idleMs) throw new Error(`the connections rested for ${restedMs} ms`);
    let kept = 0;
    let refused = 0;
    for (const [index, client] of clients.entries()) {
      // A client opens a new connection where the front has closed its own.
      const isKept = client.isOpen();
      const used = isKept ? client : await createClient(client.front.address);
      if (isKept) kept += 1;
      const sinceMs = Math.round(now() - acknowledgedAt);
      const status = await used.ask(`second-${index}`, headerBytes);
      record(`client: second-${index} with ${headerBytes} bytes of headers over a ${isKept ? 'kept' : 'new'} connection to ` +
        `${client.front.name}, ${sinceMs} ms after the acknowledgement: ${status}`);
      if (status !== 200) refused += 1;
      used.close();
    }
    const allowed = 5 + (2 * clients.length) / 500;
    record(`${kept} of ${clients.length} connections were kept; ${refused} requests were refused, DENIED allows ${allowed}`);
    return refused > allowed
      ? `DENIED, CONFIG: ${refused} proper requests were refused as only the older configuration allows`
      : undefined;
  } finally {
    for (const server of servers) server.stop();
    await fleet.stop();
  }
});
