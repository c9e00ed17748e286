// The model of a server by itself: what a prompt costs, what is kept, who goes first and who is put back.
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EngineModel } from '../tools/platform/engine-model.js';
import { Placement } from '../tools/platform/placement.js';

const work = (id: string, more: Partial<EngineModel.Work> = {}): EngineModel.Work => ({
  id,
  model: 'm',
  priority: 5,
  parts: [{ id: 'shared', tokens: 6000 }],
  rest: 100,
  made: 0,
  out: 16,
  ...more,
});

const playOut = (model: EngineModel): EngineModel.Event[] => {
  const events: EngineModel.Event[] = [];
  for (let next = model.next(); next !== undefined; next = model.next()) events.push(...model.advance(next));
  return events;
};
const beginsOf = (events: readonly EngineModel.Event[]) =>
  events.flatMap((event) => (event.kind === 'begun' ? [event] : []));

describe('the model of a server', () => {
  it('reads a kept part no second time, and so begins sooner', () => {
    const model = EngineModel.of();
    model.offer(0, work('a'));
    const [first] = beginsOf(playOut(model));
    model.offer(10_000, work('b'));
    const [second] = beginsOf(playOut(model));
    assert.deepEqual([first?.hit, first?.read, second?.hit, second?.read], [0, 6100, 6000, 100]);
    assert.ok(first!.at > 100 && first!.at < 200, `${first!.at} ms`);
    assert.ok(second!.at - 10_000 < 30, `${second!.at - 10_000} ms`);
  });

  it('keeps a part only behind the same parts', () => {
    const model = EngineModel.of();
    const [one, two] = [
      { id: '1', tokens: 500 },
      { id: '2', tokens: 300 },
    ];
    model.offer(0, work('a', { parts: [one, two] }));
    playOut(model);
    assert.equal(model.peek(work('b', { parts: [one, two] })), 800);
    assert.equal(model.peek(work('b', { parts: [one] })), 500);
    assert.equal(model.peek(work('b', { parts: [two] })), 0);
    assert.equal(model.peek(work('b', { parts: [two, one] })), 0);
    assert.equal(model.peek(work('b', { parts: [one, two], model: 'other' })), 0);
  });

  it('lets the longest unused part give way, and none in use', () => {
    const model = EngineModel.of({ memory: 1000 });
    const parts = (id: string) => [{ id, tokens: 400 }];
    model.offer(0, work('a', { parts: parts('a'), rest: 0 }));
    playOut(model);
    model.offer(1000, work('b', { parts: parts('b'), rest: 0 }));
    playOut(model);
    model.offer(2000, work('a2', { parts: parts('a'), rest: 0 }));
    playOut(model);
    model.offer(3000, work('c', { parts: parts('c'), rest: 0 }));
    playOut(model);
    const kept = ['a', 'b', 'c'].filter((id) => model.peek(work('', { parts: parts(id) })) > 0);
    assert.deepEqual(kept, ['a', 'c']);
    assert.equal(model.report().used, 0, 'all that is left can give way');
  });

  it('makes each token slower as more run', () => {
    const paceOf = (count: number) => {
      const model = EngineModel.of();
      for (let index = 0; index < count; index += 1) model.offer(0, work(String(index), { out: 400 }));
      const pieces = playOut(model).filter((event) => event.kind === 'piece' && event.id === '0');
      return (pieces.at(-1)!.at - pieces.at(-2)!.at) / EngineModel.ordinary.stride;
    };
    const [alone, full] = [paceOf(1), paceOf(64)];
    assert.ok(alone > 3.09 && alone < 3.5, `${alone}`);
    assert.ok(full > alone + 60 * 0.102, `${full}`);
  });

  it('puts the newest of the least urgent back when memory runs out, and finishes it all the same', () => {
    const model = EngineModel.of({ memory: 700 });
    const own = { parts: [], rest: 100, out: 200 };
    model.offer(0, work('urgent', { ...own, priority: 0 }));
    model.offer(0, work('older', { ...own, priority: 7 }));
    model.offer(0, work('newer', { ...own, priority: 7 }));
    const events = playOut(model);
    const putBack = events.filter((event) => event.kind === 'put-back').map((event) => event.id);
    assert.deepEqual([...new Set(putBack)], ['newer']);
    for (const id of ['urgent', 'older', 'newer']) {
      const places = events.flatMap((event) =>
        event.kind === 'piece' && event.id === id ? [event.index] : [],
      );
      assert.deepEqual(
        places,
        Array.from({ length: 25 }, (_none, index) => index + 1),
      );
    }
    assert.equal(beginsOf(events).length, 3, 'what was put back does not begin anew');
  });

  it('takes the more urgent in first and displaces others for it', () => {
    const model = EngineModel.of({ capacity: 1 });
    model.offer(0, work('common', { out: 400 }));
    model.advance(500);
    model.offer(500, work('urgent', { priority: 0 }));
    const events = playOut(model);
    const done = events.filter((event) => event.kind === 'done').map((event) => event.id);
    assert.deepEqual(done, ['urgent', 'common']);
    assert.ok(events.some((event) => event.kind === 'put-back' && event.id === 'common'));
  });

  it('turns away what is beyond its places or larger than its memory', () => {
    const model = EngineModel.of({ capacity: 1, queue: 1 });
    assert.deepEqual(
      ['a', 'b', 'c'].map((id) => model.offer(0, work(id))),
      ['taken', 'taken', 'full'],
    );
    assert.equal(EngineModel.of({ memory: 6000 }).offer(0, work('large')), 'full');
  });

  it('goes on where an earlier run stopped', () => {
    const model = EngineModel.of();
    model.offer(0, work('again', { made: 16, out: 40 }));
    const places = playOut(model).flatMap((event) => (event.kind === 'piece' ? [event.index] : []));
    assert.deepEqual(places, [3, 4, 5]);
  });

  it('forgets who left, whether it waited or ran', () => {
    const model = EngineModel.of({ capacity: 1 });
    model.offer(0, work('runs', { out: 400 }));
    model.offer(0, work('waits'));
    model.advance(300);
    model.leave(300, 'waits');
    model.leave(300, 'runs');
    assert.deepEqual([model.report().active, model.report().queued, model.report().used], [0, 0, 0]);
  });
});

describe('the experiment of placement', () => {
  const terms = { site: Placement.sites.baobab!, rate: 1, span: 20_000, seed: 3 };

  it('gives the same figures for the same seed, and others for another', () => {
    const first = Placement.play('cost', terms);
    assert.deepEqual(Placement.play('cost', terms), first);
    assert.notDeepEqual(Placement.play('cost', { ...terms, seed: 4 }), first);
  });

  it('plays the same requests for each way, and shows that agreed places save reading', () => {
    const [random, rendezvous] = [Placement.play('random', terms), Placement.play('rendezvous', terms)];
    assert.equal(random.asked, rendezvous.asked);
    assert.ok(rendezvous.readPerRequest < random.readPerRequest * 0.95);
  });
});
