/**
 * Servers that stop answering: after which silence one is suspected, which requests are told when one is found
 * unreachable, how a try ends whose connection is not established, and how reports of other proxies are checked.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Compiled } from '../src/manifest/compiled.js';
import type { Candidate } from '../src/upstream/candidate.js';
import type { Connection } from '../src/upstream/connection.js';
import { HealthChecker } from '../src/upstream/health-checker.js';
import { InFlight } from '../src/upstream/in-flight.js';
import { Outcome } from '../src/upstream/outcome.js';
import type { Pool } from '../src/upstream/pool.js';
import { Suspicion } from '../src/upstream/suspicion.js';
import { UpstreamTry } from '../src/upstream/upstream-try.js';

const group = { name: 'llm', proof: { header: 'only-instance' } } as unknown as Compiled.Group;
const serverOf = (instance: string) => ({ instance, group: 'llm' }) as unknown as Compiled.Server;

const createChecker = (answers: (instance: string) => boolean) => {
  const opened: string[] = [];
  const dark: string[] = [];
  const back: string[] = [];
  const servers = new Map(['s1', 's2'].map((name) => [name, serverOf(name)]));
  const checker = HealthChecker.of({
    pool: {
      give() {},
      async open(server: Compiled.Server) {
        opened.push(server.instance);
        if (!answers(server.instance)) throw new Error('connection refused');
        return { server } as Connection;
      },
    } as unknown as Pool,
    newest: () => ({ servers, groups: new Map([['llm', group]]) }) as unknown as Compiled,
    isRecentlyHealthy: () => false,
    onUnreachable: ({ instance }) => void dark.push(instance),
    onRecovered: ({ instance }) => void back.push(instance),
  });
  return { checker, opened, dark, back };
};

describe('suspicion', () => {
  it('begins after a part of the first-byte or gap target, within bounds', () => {
    assert.equal(Suspicion.firstAfter(800), 720);
    assert.equal(Suspicion.firstAfter(100), 600);
    assert.equal(Suspicion.firstAfter(20_000), 1000);
    assert.equal(Suspicion.firstAfter(undefined), 1000);
    assert.equal(Suspicion.pauseAfter(1000), 700);
    assert.equal(Suspicion.pauseAfter(undefined), undefined);
  });
});

describe('an unreachable server', () => {
  it('is told to the watchers of that server, except those that have ended their watch', () => {
    const { checker } = createChecker(() => false);
    const told: string[] = [];
    checker.watch('s1', () => told.push('watcher'));
    const unwatch = checker.watch('s1', () => told.push('ended'));
    checker.watch('s2', () => told.push('watcher of another'));
    unwatch();
    checker.lost(serverOf('s1'));
    assert.deepEqual(told, ['watcher']);
    assert.ok(checker.isUnreachable('s1'));
    checker.stop();
  });

  it('is confirmed after a report of another proxy only if a check here fails too', async () => {
    const { checker, opened, dark, back } = createChecker((instance) => instance === 's2');
    const told: string[] = [];
    for (const name of ['s1', 's2']) checker.watch(name, () => told.push(name));
    checker.reportUnreachable('s1');
    checker.reportUnreachable('s2');
    await pause(50);
    assert.deepEqual(opened.sort(), ['s1', 's2']);
    assert.deepEqual([checker.unreachable(), dark, told], [['s1'], ['s1'], ['s1']]);
    checker.reportRecovered('s1');
    assert.equal(checker.isUnreachable('s1'), false, 'another proxy has reached it again');
    await pause(400);
    assert.equal(opened.length, 2, 'checks here have ended');
    assert.deepEqual(back, []);
    checker.stop();
  });

  it('is not confirmed by a check that was aborted because another proxy reached it', async () => {
    const dark: string[] = [];
    const servers = new Map([['s1', serverOf('s1')]]);
    const checker = HealthChecker.of({
      pool: {
        give() {},
        open: (_server: unknown, _group: unknown, signal: AbortSignal) =>
          new Promise((_resolve, reject) => {
            signal.addEventListener('abort', () => reject(signal.reason));
          }),
      } as unknown as Pool,
      newest: () => ({ servers, groups: new Map([['llm', group]]) }) as unknown as Compiled,
      isRecentlyHealthy: () => false,
      onUnreachable: ({ instance }) => void dark.push(instance),
      onRecovered() {},
    });
    checker.reportUnreachable('s1');
    await pause(40);
    checker.reportRecovered('s1');
    await pause(40);
    assert.deepEqual([dark, checker.unreachable()], [[], []]);
  });

  it('that this proxy detected itself stays unreachable, whatever others report', () => {
    const { checker } = createChecker(() => false);
    checker.lost(serverOf('s1'));
    checker.reportRecovered('s1');
    assert.ok(checker.isUnreachable('s1'));
    checker.stop();
  });
});

const candidate = { server: serverOf('s1'), group } as Candidate;
const never = new AbortController().signal;

const runTrial = (pool: Partial<Pool>, onLost?: (end: () => void) => () => void) =>
  UpstreamTry.run(candidate, {
    pool: pool as Pool,
    inFlight: InFlight.of(),
    request: () => ({ method: 'GET', path: '/', headers: {}, body: null }),
    timeouts: { connect: 5000, first_byte: 5000, per_try: 5000, total: 5000, idle: 5000 },
    deadline: Number.POSITIVE_INFINITY as never,
    signal: never,
    isStillEligible: () => true,
    settle: async () => {},
    correlation: undefined,
    usedConnections: new Set(),
    onSend() {},
    weight: 1,
    suspectAfter: 1000,
    onSuspect() {},
    ...(onLost ? { onUnreachable: onLost } : {}),
  });

describe('a try', () => {
  it('ends unsent when its connection is not established in time, and makes the server suspect', async () => {
    const began = performance.now();
    const trial = await runTrial({
      take: (_server, _group, signal) =>
        new Promise((_resolve, reject) => {
          signal.addEventListener('abort', () => reject(signal.reason));
        }),
    });
    const span = performance.now() - began;
    assert.deepEqual([trial.kind, 'why' in trial && trial.why], ['unsent', 'slow']);
    assert.ok(span >= 390 && span < 2000, `${span} ms`);
    const seen: string[] = [];
    const see = (name: string) => () => void seen.push(name);
    Outcome.record(
      {
        failures: { see: see('failure'), good: see('good') },
        ejector: { good: see('well'), bad: see('ill'), misdirected: see('misdirected') },
        healthChecker: { lost: see('lost'), suspect: see('suspect') },
        slowStart: { good: see('fed') },
      },
      trial,
    );
    assert.deepEqual(seen, ['suspect']);
  });

  it('uses a connection established in the same event-loop turn as its timeout, as after a blocked process', async () => {
    const connection = {
      mayCarry: () => true,
      destroy: async () => {},
      async run(_request: unknown, terms: { signal: AbortSignal; maySend: () => boolean }) {
        terms.maySend();
        await pause(30);
        const { aborted } = terms.signal;
        return { kind: 'failure', isSent: true, cause: new Error(aborted ? 'cut' : 'ended by itself') };
      },
    } as unknown as Connection;
    let sawAbort = true;
    const run = connection.run;
    Object.assign(connection, {
      async run(request: never, terms: never) {
        const told = await run(request, terms);
        sawAbort = told.kind === 'failure' && told.cause.message === 'cut';
        return told;
      },
    });
    const held = runTrial({ take: () => pause(398).then(() => connection) });
    await pause(380);
    const until = performance.now() + 60;
    while (performance.now() < until);
    const trial = await held;
    assert.equal(sawAbort, false);
    assert.deepEqual([trial.kind, 'why' in trial && trial.why], ['lost', 'reset']);
  });

  it('ends when its server is found unreachable, as one that may have run', async () => {
    let isUnwatched = false;
    let settle: (exchange: unknown) => void = () => {};
    const connection = {
      mayCarry: () => true,
      destroy: async () => {},
      run: (_request: unknown, terms: { signal: AbortSignal; maySend: () => boolean }) =>
        new Promise((resolve) => {
          terms.maySend();
          settle = resolve;
          terms.signal.addEventListener('abort', () =>
            settle({ kind: 'failure', isSent: true, cause: terms.signal.reason }),
          );
        }),
    } as unknown as Connection;
    const trial = await runTrial({ take: async () => connection }, (end) => {
      setTimeout(end, 30);
      return () => {
        isUnwatched = true;
      };
    });
    assert.deepEqual([trial.kind, 'why' in trial && trial.why], ['lost', 'reset']);
    assert.ok(isUnwatched);
  });
});
