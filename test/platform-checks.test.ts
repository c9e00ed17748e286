// Each checker of the stand-in finds nothing in a recording of a day that kept the rules, meets occasions there,
// and catches the fault that is planted for it.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Checks } from '../tools/platform/checks.js';
import { Recording } from '../tools/platform/recording.js';
import type { Verdict } from '../tools/platform/verdict.js';

const bounds: Verdict.Bounds = {
  drain: 5000,
  evacuation: 5000,
  configApply: 3000,
  revertSlack: 250,
  retryRatio: 0.2,
  retryWindow: 10_000,
  retrySlack: 2,
  warmupOvershoot: 1.5,
  warmupSlack: 5,
  warmupPerSecond: { llm: 4 },
};

type Told = {
  readonly at: number;
  readonly attempt: string;
  readonly runs?: Recording.Runs;
  readonly path?: string;
  readonly instance?: string;
  readonly service?: string;
  readonly region?: string;
  readonly zone?: string;
  readonly isCold?: boolean;
  readonly front?: string;
};

const send = (recording: Recording, told: Told) =>
  recording.sent.push({
    at: told.at,
    attempt: told.attempt,
    request: `r-${told.attempt}`,
    kind: 'k',
    runs: told.runs ?? 'once',
    host: 'h',
    path: told.path ?? '/a/1',
    region: 'a',
    zone: 'a-1',
    front: told.front ?? 'f-1',
    digest: 'body',
  });
const arrive = (recording: Recording, told: Told, digest = 'body') =>
  recording.served.push({
    kind: 'arrived',
    at: told.at + 1,
    instance: told.instance ?? 'i-1',
    attempt: told.attempt,
    service: told.service ?? 'llm',
    zone: told.zone ?? 'a-1',
    region: told.region ?? 'a',
    host: 'h',
    method: 'POST',
    path: told.path ?? '/a/1',
    digest,
    isCold: told.isCold ?? false,
    isMeant: true,
    from: 0,
  });
const run = (recording: Recording, told: Told, from = 0, name = `run-${told.attempt}`) => {
  const base = { at: told.at + 2, instance: told.instance ?? 'i-1', attempt: told.attempt, run: name };
  recording.served.push({ ...base, kind: 'run', seal: `seal-${name}`, from, read: 0 });
};
const finish = (recording: Recording, told: Told, last = 0, name = `run-${told.attempt}`) => {
  const base = { at: told.at + 3, instance: told.instance ?? 'i-1', attempt: told.attempt, run: name };
  recording.served.push({ ...base, kind: 'done', status: 200, digest: `bytes-${name}`, last });
};
const end = (recording: Recording, told: Told, more: Partial<Recording.Ended> = {}) =>
  recording.ended.push({
    at: told.at + 4,
    attempt: told.attempt,
    request: `r-${told.attempt}`,
    outcome: 'whole',
    status: 200,
    echoed: told.attempt,
    seal: `seal-run-${told.attempt}`,
    digest: `bytes-run-${told.attempt}`,
    ...more,
  });
const serve = (recording: Recording, told: Told, more: Partial<Recording.Ended> = {}) => {
  send(recording, told);
  arrive(recording, told);
  run(recording, told);
  finish(recording, told, more.events?.length ?? 0);
  end(recording, told, more);
};
const eventsOf = (ids: readonly number[], name: string) => ids.map((id) => ({ id, run: name, place: id }));
const refusal = {
  outcome: 'refused',
  status: 503,
  seal: undefined,
  digest: 'x',
} as unknown as Partial<Recording.Ended>;

const version = (
  revision: number,
  base: number,
  at: number,
  services: readonly string[],
  more: { status?: number; isValid?: boolean } = {},
): Extract<Recording.Order, { kind: 'configuration' }> => {
  const status = more.status ?? 200;
  return {
    kind: 'configuration',
    sent: at,
    status,
    revision,
    base,
    isValid: more.isValid ?? true,
    digest: `d-${revision}`,
    routes: [
      { name: 'a', host: 'h', prefix: '/a/', services, homes: [] },
      { name: 'home', host: 'h', prefix: '/a/home/', services, homes: ['a'] },
    ],
    ...(status === 200 ? { acked: at + 50 } : {}),
  };
};

/** A day on which all went well, with an occasion for every checker. */
const goodDay = (): Recording => {
  const recording = Recording.of();
  recording.lives.push({ at: 0, front: 'f-1' });
  recording.orders.push(
    version(2, 0, 100, ['llm']),
    version(4, 2, 9000, ['next']),
    version(3, 2, 9010, ['lost'], { status: 412 }),
    version(6, 4, 9500, ['bad'], { status: 400, isValid: false }),
  );
  for (let index = 0; index < 40; index += 1)
    serve(recording, { at: 1000 + index * 100, attempt: `t${index}`, isCold: index < 9 });
  serve(recording, { at: 5100, attempt: 'home', path: '/a/home/1' });
  serve(
    recording,
    { at: 5200, attempt: 'stream', runs: 'resumable' },
    { events: eventsOf([1, 2, 3], 'run-stream') },
  );
  send(recording, { at: 5300, attempt: 'refused' });
  end(recording, { at: 5300, attempt: 'refused' }, refusal);
  const twice: Told = { at: 5400, attempt: 'twice', runs: 'repeatable' };
  serve(recording, twice);
  arrive(recording, { ...twice, instance: 'i-2' });
  recording.listed.push({ at: 6000, instance: 'i-1', state: 'draining' });
  recording.listed.push({ at: 8300, instance: 'i-4', state: 'draining' });
  recording.orders.push({ kind: 'evacuate', zone: 'a-1', sent: 6000, acked: 6100, status: 200 });
  for (let index = 0; index < 5; index += 1)
    serve(recording, {
      at: 13_000 + index * 100,
      attempt: `late${index}`,
      instance: 'i-3',
      service: 'next',
      zone: 'b-1',
      region: 'b',
    });
  serve(recording, {
    at: 13_050,
    attempt: 'old',
    instance: 'i-4',
    service: 'next',
    zone: 'b-1',
    region: 'b',
  });
  recording.orders.push({ kind: 'take-back', zone: 'a-1', sent: 14_000, acked: 14_100, status: 200 });
  recording.orders.push({
    kind: 'read',
    sent: 15_000,
    acked: 15_010,
    status: 200,
    revision: 4,
    digest: 'd-4',
  });
  return recording;
};
const late: Told = { at: 13_700, attempt: 'x', instance: 'i-3', service: 'next', zone: 'b-1', region: 'b' };

const plants: Readonly<Record<string, Readonly<Record<string, (recording: Recording) => void>>>> = {
  twice: {
    'a once request that runs at two servers': (recording) => {
      serve(recording, late);
      run(recording, { ...late, instance: 'i-9' }, 0, 'second');
    },
  },
  refused: {
    'a refusal of what ran': (recording) => {
      send(recording, late);
      arrive(recording, late);
      run(recording, late);
      end(recording, late, refusal);
    },
  },
  unasked: {
    'a run that nobody sent': (recording) => run(recording, { at: 5000, attempt: 'nobody' }),
    'another body': (recording) => {
      send(recording, late);
      arrive(recording, late, 'altered');
      run(recording, late);
    },
  },
  mixed: {
    'the answer of another': (recording) => serve(recording, late, { echoed: 'other' }),
    'a success without a stamp': (recording) => serve(recording, late, { seal: 'made up' }),
    'another body under its stamp': (recording) => serve(recording, late, { digest: 'short' }),
    'a body in an encoding': (recording) => serve(recording, late, { encoding: 'gzip' }),
    'a failure under a stamp': (recording) => serve(recording, late, { outcome: 'failed', status: 502 }),
    'bytes that are no answer': (recording) => serve(recording, late, { outcome: 'wrong', status: 0 }),
    'bytes that nobody waits for': (recording) => recording.strays.push({ at: 1, front: 'f-1', why: 'more' }),
  },
  order: {
    'a missing event': (recording) => serve(recording, late, { events: eventsOf([1, 3], 'run-x') }),
    'a doubled event': (recording) => serve(recording, late, { events: eventsOf([1, 2, 2], 'run-x') }),
    'an event with the bytes of another': (recording) =>
      serve(recording, late, { events: [{ id: 1, run: 'run-x', place: 2 }] }),
    'two runs joined': (recording) =>
      serve(recording, late, { events: [...eventsOf([1], 'run-x'), ...eventsOf([2], 'other')] }),
    'a run taken up at the wrong place': (recording) => {
      run(recording, { ...late, instance: 'i-9' }, 2, 'second');
      const events = [...eventsOf([1], 'run-x'), ...eventsOf([2], 'second')];
      serve(recording, { ...late, runs: 'resumable' }, { events, outcome: 'broken' });
    },
    'an end before the last event': (recording) => {
      send(recording, late);
      arrive(recording, late);
      run(recording, late);
      finish(recording, late, 5);
      end(recording, late, { events: eventsOf([1, 2], 'run-x') });
    },
  },
  route: {
    'a service that no version names': (recording) => serve(recording, { ...late, service: 'stranger' }),
  },
  home: {
    'a request away from home': (recording) => serve(recording, { ...late, path: '/a/home/1' }),
  },
  drain: {
    'a request to a server that left': (recording) => serve(recording, { ...late, instance: 'i-1' }),
  },
  evacuation: {
    'a request into an evacuated zone': (recording) => serve(recording, { ...late, zone: 'a-1' }),
  },
  failback: {
    'a flood at a cold server': (recording) => {
      for (let index = 0; index < 12; index += 1)
        serve(recording, { at: 2000 + index * 50, attempt: `c${index}`, instance: 'i-5', isCold: true });
    },
  },
  budget: {
    'too many further tries': (recording) => {
      for (let index = 0; index < 20; index += 1)
        arrive(recording, { at: 3000 + index, attempt: `t${index}`, instance: 'i-2' });
    },
  },
  applied: {
    'an old service long after a change': (recording) =>
      serve(recording, { ...late, service: 'llm', at: 13_900 }),
  },
  back: {
    'an old service after the new': (recording) =>
      serve(recording, { ...late, at: 13_950, service: 'llm', instance: 'i-9' }),
  },
  race: {
    'two winners': (recording) => recording.orders.push(version(5, 2, 9100, ['lost'])),
  },
  invalid: {
    'an invalid version acknowledged': (recording) =>
      recording.orders.push(version(8, 4, 16_000, ['bad'], { isValid: false })),
  },
  inForce: {
    'a loser in force': (recording) => serve(recording, { ...late, service: 'lost' }),
  },
  readBack: {
    'an older version': (recording) =>
      recording.orders.push({
        kind: 'read',
        sent: 16_000,
        acked: 16_010,
        status: 200,
        revision: 2,
        digest: 'd-2',
      }),
    'other words under its number': (recording) =>
      recording.orders.push({
        kind: 'read',
        sent: 16_000,
        acked: 16_010,
        status: 200,
        revision: 4,
        digest: 'd-0',
      }),
    nothing: (recording) =>
      recording.orders.push({ kind: 'read', sent: 16_000, status: 503, revision: 0, digest: '' }),
  },
};

describe('the checkers of the stand-in', () => {
  it('find nothing in a good day, and meet occasions', () => {
    const verdicts = Checks.judge(goodDay(), bounds);
    for (const [name, verdict] of Object.entries(verdicts)) {
      assert.deepEqual(verdict.breaches, [], name);
      assert.ok(verdict.occasions > 0, `${name} met no occasion`);
    }
  });

  it('have a planted fault each', () => {
    assert.deepEqual(Object.keys(plants).sort(), Object.keys(Checks.all).sort());
  });

  for (const [name, faults] of Object.entries(plants))
    for (const [fault, plant] of Object.entries(faults))
      it(`${name} catches ${fault}`, () => {
        const recording = goodDay();
        plant(recording);
        assert.notDeepEqual(Checks.all[name]!(recording, bounds).breaches, []);
      });

  it('let a stream be taken up where it stopped', () => {
    const recording = goodDay();
    const told: Told = {
      at: 13_700,
      attempt: 'taken',
      runs: 'resumable',
      service: 'next',
      zone: 'b-1',
      region: 'b',
    };
    send(recording, told);
    run(recording, told);
    run(recording, { ...told, instance: 'i-9' }, 2, 'second');
    finish(recording, { ...told, instance: 'i-9' }, 4, 'second');
    end(recording, told, { events: [...eventsOf([1, 2], 'run-taken'), ...eventsOf([3, 4], 'second')] });
    assert.deepEqual(Checks.all.order!(recording, bounds).breaches, []);
    assert.deepEqual(Checks.all.mixed!(recording, bounds).breaches, []);
  });
});
