// Each checker of the stand-in finds nothing in a recording of a day that kept the rules, meets occasions there,
// and catches the fault that is planted for it.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Checks } from '../tools/platform/checks.js';
import type { Recording } from '../tools/platform/recording.js';
import { GoodDay } from './good-day.js';

const { bounds, send, arrive, run, finish, end, serve, eventsOf, refusal, version, of: goodDay } = GoodDay;
type Told = GoodDay.Told;

const late: Told = { at: 13_700, attempt: 'x', instance: 'i-3', service: 'next', zone: 'b-1', region: 'b' };

const keyed: Told = { ...late, key: 'key', subscriber: 'tenant' };

const closed: Partial<Recording.Ended> = { outcome: 'unreached', status: 0, why: 'other side closed' };

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
  labels: {
    'another model': (recording) => {
      send(recording, late);
      arrive(recording, { ...late, labels: 'others' });
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
  lost: {
    'connections that are closed around what ran': (recording) => {
      for (let index = 0; index < 4; index += 1)
        serve(recording, { ...late, attempt: `lost${index}`, isKept: true }, closed);
    },
    'connections that are closed early in a drain': (recording) => {
      recording.ends.push({ at: late.at, front: 'f-1', isDrain: true });
      for (let index = 0; index < 4; index += 1)
        serve(recording, { ...late, attempt: `lost${index}`, isKept: true }, closed);
    },
  },
  tenant: {
    'a key that was passed on': (recording) => serve(recording, { ...keyed, hasKey: true }),
    'the name of another tenant': (recording) => serve(recording, { ...keyed, subscriber: 'other' }),
    'no name': (recording) => {
      const { subscriber: _subscriber, ...nameless } = keyed;
      serve(recording, nameless);
    },
    'a key that no version holds': (recording) => serve(recording, { ...keyed, key: 'made up' }),
  },
  revoked: {
    'a key long after it was taken away': (recording) => serve(recording, { ...keyed, key: 'old-key' }),
  },
  quota: {
    'more than the limit in a window': (recording) => {
      for (let index = 0; index < 4; index += 1)
        serve(recording, { ...keyed, at: keyed.at + index * 200, attempt: `x${index}` });
    },
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
  attempts: {
    'requests that run at three servers': (recording) => {
      for (let index = 0; index < 4; index += 1) {
        const told: Told = { ...late, attempt: `m${index}`, runs: 'repeatable' };
        serve(recording, told);
        for (const instance of ['i-8', 'i-9'])
          run(recording, { ...told, instance }, 0, `${instance}-${index}`);
      }
    },
  },
  remaining: {
    'requests handed on with no time': (recording) => {
      for (let index = 0; index < 21; index += 1)
        serve(recording, { ...late, attempt: `n${index}`, remaining: 'none' });
    },
    'requests handed on with more time than is left': (recording) => {
      for (let index = 0; index < 21; index += 1)
        serve(recording, { ...late, attempt: `n${index}`, left: 1000, remaining: 2000 });
    },
    'second tries with the time of the first': (recording) => {
      for (let index = 0; index < 21; index += 1) {
        const told: Told = { ...late, attempt: `n${index}`, left: 10_000, remaining: 10_000 };
        serve(recording, told);
        arrive(recording, { ...told, at: late.at + 1500, instance: 'i-8' });
      }
    },
  },
  timeout: {
    'requests held past their route’s time': (recording) => {
      for (let index = 0; index < 8; index += 1) {
        send(recording, { ...late, attempt: `h${index}` });
        end(recording, { ...late, at: late.at + 4600, attempt: `h${index}` }, refusal);
      }
    },
  },
  gone: {
    'requests sent on for clients that left': (recording) => {
      for (let index = 0; index < 4; index += 1) {
        send(recording, { ...late, attempt: `g${index}` });
        end(recording, { ...late, attempt: `g${index}` }, { outcome: 'left', status: 0 });
        arrive(recording, { ...late, at: late.at + 600, attempt: `g${index}` });
      }
    },
    'runs that go on for clients that left': (recording) => {
      for (let index = 0; index < 4; index += 1) {
        const told: Told = { ...late, attempt: `g${index}`, runs: 'repeatable' };
        send(recording, told);
        arrive(recording, told);
        run(recording, told);
        end(recording, told, { outcome: 'left', status: 0 });
        finish(recording, { ...told, at: late.at + 1000 });
      }
    },
  },
  denied: {
    'proper requests answered 404': (recording) => {
      for (let index = 0; index < 6; index += 1) {
        send(recording, { ...late, attempt: `d${index}` });
        end(recording, { ...late, attempt: `d${index}` }, { outcome: 'failed', status: 404 });
      }
    },
  },
  starved: {
    'a kind that is hardly served': (recording) => {
      for (let index = 0; index < 10; index += 1) {
        send(recording, { ...late, attempt: `s${index}`, kind: 'starving' });
        end(recording, { ...late, attempt: `s${index}` }, refusal);
      }
    },
  },
  later: {
    'a route added later that is not served': (recording) => {
      for (let index = 0; index < 20; index += 1) {
        send(recording, { ...late, attempt: `l${index}`, path: '/a/later/2' });
        end(recording, { ...late, attempt: `l${index}` }, refusal);
      }
    },
  },
  directory: {
    'a machine named long after its end': (recording) => {
      for (let index = 0; index < 4; index += 1)
        recording.resolved.push({ at: 15_100 + index, addresses: ['f-1', 'f-2'] });
    },
  },
  again: {
    'an acknowledged change that is refused when sent again': (recording) =>
      recording.orders.push(version(4, 2, 15_500, ['next'], { status: 412 })),
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
