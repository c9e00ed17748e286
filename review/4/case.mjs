// LOST: a configuration that changes `idle-timeout-ms` makes a front close kept connections in the middle of requests that it
// has read and passed on.
import net from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configuration, now, runCase, sleep } from '../lib-2/lab.mjs';

const here = dirname(fileURLToPath(import.meta.url));
const zones = ['dakar-plateau', 'thies-nord', 'sor-hall'];
const clientsPerFront = 25;
const changes = 45;
const pauseMs = 1400;
const routes = 350;
/** The rule: more than three times at a machine. */
const allowed = 3;

/** One answer of a server: a few milliseconds of work, then a whole answer. */
const work = async (run) => {
  await sleep(5 + Math.random() * 20);
  const body = `answer of ${run.seal}`;
  const { response } = run;
  response.writeHead(200, { 'Attempt-Id': run.id, 'Server-Seal': run.seal, 'Content-Length': body.length });
  response.end(body);
};

await runCase(async ({ isTroubled, open }) => {
  const lab = await open({ record: join(here, 'record.txt') });
  for (const zone of zones) for (let count = 0; count < 2; count += 1) await lab.addServer('wuno96b', zone, work);
  const made = (revision) => {
    const others = Array.from({ length: routes }, (_none, index) => ({
      name: `r-other-${index}`, 'path-prefix': `/other${index}/`, 'target-service': 'wuno96b',
    }));
    const main = {
      name: 'r-stock', 'path-prefix': '/pule252/', 'target-service': 'wuno96b', 'timeout-ms': 3000,
      'target-latency-ms': 300, 'route-class': 'non_idempotent',
    };
    const whole = configuration(revision, [main, ...others], [{ name: 'wuno96b', 'max-connections': 110 }]);
    // Raised by a second each time, so that every client stays inside each version's limit.
    const raised = isTroubled ? 1000 * (revision - 1) : 0;
    return { ...whole, limits: { ...whole.limits, 'idle-timeout-ms': 15000 + raised } };
  };
  await sleep(1500);
  const first = await lab.configure(made(1), 0);
  if (first.status !== 200) throw new Error(`the first configuration was not taken: ${first.status}`);
  if (!(await lab.ready())) throw new Error('the fronts are not ready');
  await sleep(6000);

  let isOver = false;
  let serial = 0;
  const lost = [];
  const counts = { answered: 0, unread: 0, lost: 0, other: 0 };

  /** A client that keeps its connection for many requests, one at a time, and opens another when it is closed. */
  const client = async (front) => {
    const [host, port] = front.address.split(':');
    let socket;
    let used = 0;
    while (!isOver) {
      if (!socket || socket.destroyed) {
        socket = net.connect({ host, port: Number(port), noDelay: true });
        socket.on('error', () => {});
        used = 0;
      }
      serial += 1;
      const id = `q${serial.toString(16).padStart(8, '0')}`;
      const sentAt = now();
      const answer = await new Promise((done) => {
        let bytes = Buffer.alloc(0);
        const finish = (result) => {
          socket.off('data', onData);
          socket.off('close', onClose);
          done(result);
        };
        const onData = (chunk) => {
          bytes = Buffer.concat([bytes, chunk]);
          const end = bytes.indexOf('\r\n\r\n');
          if (end < 0) return;
          const head = bytes.subarray(0, end).toString('latin1');
          const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
          if (bytes.length < end + 4 + length) return;
          finish({ status: Number(head.split(' ')[1]), isLast: /^connection: close$/im.test(head) });
        };
        const onClose = () => finish({ status: undefined, isLast: true });
        socket.on('data', onData);
        socket.on('close', onClose);
        socket.write(
          `POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: ${id}\r\nRemaining-Time: 3000\r\nContent-Length: 600\r\n\r\n${'x'.repeat(600)}`,
        );
      });
      lab.note('answer', { id, front: front.name, status: answer.status ?? 'closed' });
      if (answer.status === 200) counts.answered += 1;
      else if (answer.status !== undefined) counts.other += 1;
      else {
        await sleep(100);
        const run = lab.runs.find((one) => one.id === id);
        counts[run ? 'lost' : 'unread'] += 1;
        const facts = { id, front: front.name, requestsBefore: used, sentAt, ranAt: run?.at, server: run?.instance };
        lab.note(run ? 'passed on, connection closed without an answer' : 'connection closed, not passed on', facts);
        if (run && used > 0) lost.push(facts);
      }
      used += 1;
      if (answer.isLast) {
        socket.destroy();
        socket = undefined;
      }
      await sleep(Math.random() * 250);
    }
    socket?.destroy();
  };
  const clients = lab.fronts.flatMap((front) => Array.from({ length: clientsPerFront }, () => client(front)));
  await sleep(2000);
  for (let revision = 2; revision < 2 + changes; revision += 1) {
    const taken = await lab.configure(made(revision), revision - 1);
    if (taken.status !== 200) throw new Error(`configuration ${revision} was not taken: ${taken.status}`);
    await sleep(pauseMs);
  }
  isOver = true;
  await Promise.all(clients);
  const perFront = Object.fromEntries(lab.fronts.map(({ name }) => [name, lost.filter(({ front }) => front === name).length]));
  const isBroken = Object.values(perFront).some((count) => count > allowed);
  return { isBroken, text: `passed on and closed without an answer: ${JSON.stringify(perFront)}; ${JSON.stringify(counts)}` };
});
