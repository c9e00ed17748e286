// A recording of a good day on the stand-in, with an occasion for every checker, and the steps to plant faults in it.
import { Recording } from '../tools/platform/recording.js';
import type { Verdict } from '../tools/platform/verdict.js';

const bounds: Verdict.Bounds = {
  contact: 5000,
  drain: 5000,
  grace: 3000,
  evacuation: 5000,
  configApply: 3000,
  revertSlack: 250,
  retryRatio: 0.2,
  retryWindow: 10_000,
  retrySlack: 2,
  warmupOvershoot: 1.5,
  warmupSlack: 5,
  warmupPerSecond: { llm: 4 },
  revoke: 2000,
  quotaWindow: 1000,
  quotaOvershoot: 0.1,
  quotaSlack: 1,
};

export declare namespace GoodDay {
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
    readonly isKept?: boolean;
    readonly kind?: string;
    readonly left?: number;
    readonly labels?: string;
    readonly remaining?: number | 'none';
    readonly key?: string;
    readonly subscriber?: string;
    readonly hasKey?: boolean;
  };
}

const send = (recording: Recording, told: GoodDay.Told) =>
  recording.sent.push({
    at: told.at,
    attempt: told.attempt,
    request: `r-${told.attempt}`,
    kind: told.kind ?? 'k',
    runs: told.runs ?? 'once',
    host: 'h',
    path: told.path ?? '/a/1',
    region: 'a',
    zone: 'a-1',
    front: told.front ?? 'f-1',
    digest: 'body',
    left: told.left ?? 10_000,
    labels: 'labels',
    ...(told.isKept === undefined ? {} : { isKept: told.isKept }),
    ...(told.key === undefined ? {} : { key: told.key }),
  });
const arrive = (recording: Recording, told: GoodDay.Told, digest = 'body') =>
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
    labels: told.labels ?? 'labels',
    ...(told.remaining === 'none' ? {} : { remaining: told.remaining ?? 9000 }),
    ...(told.subscriber === undefined ? {} : { subscriber: told.subscriber }),
    hasKey: told.hasKey ?? false,
  });
const run = (recording: Recording, told: GoodDay.Told, from = 0, name = `run-${told.attempt}`) => {
  const base = { at: told.at + 2, instance: told.instance ?? 'i-1', attempt: told.attempt, run: name };
  recording.served.push({ ...base, kind: 'run', seal: `seal-${name}`, from, read: 0 });
};
const finish = (recording: Recording, told: GoodDay.Told, last = 0, name = `run-${told.attempt}`) => {
  const base = { at: told.at + 3, instance: told.instance ?? 'i-1', attempt: told.attempt, run: name };
  recording.served.push({ ...base, kind: 'done', status: 200, digest: `bytes-${name}`, last });
};
const end = (recording: Recording, told: GoodDay.Told, more: Partial<Recording.Ended> = {}) =>
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
const serve = (recording: Recording, told: GoodDay.Told, more: Partial<Recording.Ended> = {}) => {
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
      { name: 'a', host: 'h', prefix: '/a/', services, homes: [], timeout: 4000, attempts: 2 },
      { name: 'home', host: 'h', prefix: '/a/home/', services, homes: ['a'], timeout: 4000, attempts: 2 },
      ...(revision < 4 ? [] : [{ name: 'later', host: 'h', prefix: '/a/later/', services, homes: [] }]),
    ],
    subscribers: [
      { name: 'tenant', keys: revision < 4 ? ['key', 'old-key'] : ['key'], perSecond: 1, burst: 1 },
    ],
    ...(status === 200 ? { acked: at + 50 } : {}),
  };
};

/** A day on which all went well, with an occasion for every checker. */
const goodDay = (): Recording => {
  const recording = Recording.of();
  recording.lives.push({ at: 0, front: 'f-1' }, { at: 0, front: 'f-2' });
  recording.ends.push({ at: 7000, front: 'f-2' });
  recording.resolved.push({ at: 7500, addresses: ['f-1', 'f-2'] });
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
  for (let index = 0; index < 5; index += 1)
    serve(recording, { at: 5500 + index, attempt: `kept${index}`, isKept: true });
  for (const [index, key] of ['key', 'old-key', 'key'].entries())
    serve(recording, { at: 5600 + index, attempt: `keyed${index}`, key, subscriber: 'tenant' });
  send(recording, { at: 5300, attempt: 'refused' });
  end(recording, { at: 5300, attempt: 'refused' }, refusal);
  const twice: GoodDay.Told = { at: 5400, attempt: 'twice', runs: 'repeatable' };
  serve(recording, twice);
  arrive(recording, { ...twice, instance: 'i-2' });
  send(recording, { at: 7000, attempt: 'long' });
  end(recording, { at: 11_100, attempt: 'long' }, { ...refusal, status: 504, outcome: 'failed' });
  send(recording, { at: 7100, attempt: 'left', runs: 'repeatable' });
  end(recording, { at: 7200, attempt: 'left' }, { ...refusal, status: 0, outcome: 'left' });
  recording.orders.push(version(4, 2, 9200, ['next']));
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
    path: '/a/later/1',
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

export const GoodDay = {
  bounds,
  send,
  arrive,
  run,
  finish,
  end,
  serve,
  eventsOf,
  refusal,
  version,
  of: goodDay,
};
