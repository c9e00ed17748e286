// A model server as a process of its own. Its answers have no length and end with their connection. A stream holds 20 events, one
// each 100 ms; each is written in two halves, all streams of the server in step.
import net from 'node:net';

const [ip, instance] = process.argv.slice(2);
const events = 20;
const streams = new Set();
let runs = 0;
process.on('disconnect', () => process.exit());

const report = JSON.stringify({
  phase: 'combined', models: [{ name: 'm', revision: 1, adapters: [] }], occupied: false, sequence: 0, queued: 0, active: 0,
  'cache-used': 0, 'cache-total': 256325, sessions: 0,
});

const serve = (socket, method, url, headers) => {
  if (url === '/health') return socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${instance}\r\nContent-Length: 0\r\n\r\n`);
  if (url === '/report')
    return socket.write(
      `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${report.length}\r\n\r\n${report}`,
    );
  const id = headers['attempt-id'];
  if (headers['target-instance'] !== instance)
    return socket.write(
      `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${instance}\r\nAttempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
    );
  runs += 1;
  const seal = `${instance}.${runs}`;
  const after = Number(headers['last-event-id'] ?? 0);
  process.send({ kind: 'run', id, instance, seal, after });
  socket.write(
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: ${seal}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`,
  );
  return streams.add({ socket, id, next: after + 1 });
};

net
  .createServer((socket) => {
    let bytes = Buffer.alloc(0);
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        const end = bytes.indexOf('\r\n\r\n');
        if (end < 0) return;
        const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n');
        const headers = Object.fromEntries(
          lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]),
        );
        const length = Number(headers['content-length'] ?? 0);
        if (bytes.length < end + 4 + length) return;
        bytes = bytes.subarray(end + 4 + length);
        const [method, url] = first.split(' ');
        serve(socket, method, url, headers);
      }
    });
  })
  .listen(8080, ip, () => process.send({ kind: 'ready' }));

setInterval(() => {
  const open = [...streams].filter(({ socket }) => !socket.destroyed);
  streams.clear();
  for (const stream of open) {
    streams.add(stream);
    stream.socket.write(`id: ${stream.next}\nda`);
  }
  if (open.length > 0) process.send({ kind: 'middle', instance, streams: open.map(({ id, next }) => ({ id, next })) });
  setTimeout(() => {
    for (const stream of open) {
      stream.socket.write(`ta: ${stream.id}-${stream.next}\n\n`);
      stream.next += 1;
      if (stream.next <= events) continue;
      streams.delete(stream);
      stream.socket.end();
    }
  }, 50);
}, 100);
