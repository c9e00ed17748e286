/**
 * Requests that reach a proxy late in its drain: those that it may not be able to finish are refused as not run, before a server
 * sees them; those that end in time, or came early enough, are served.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { Instant } from '../src/common/instant.js';
import { Drain } from '../src/proxy/drain.js';
import { RequestKit } from './request-kit.js';

const { serve, start, reply, request, ask } = RequestKit;

describe('a request that comes late in a drain', () => {
  afterEach(() => RequestKit.end());

  it('is not taken and then cut off', async () => {
    const drain = Drain.of({ total: () => 1500, takesLong: () => 0 });
    const server = await serve((arrival) => reply(arrival, 'mine'));
    const lab = await start({ servers: [server], alter: (needs) => ({ ...needs, drain }) });
    const sendWith = (left: number) => ask(lab, request('/once/a', { 'remaining-time': String(left) }));
    assert.equal((await sendWith(2500)).status, 200);
    drain.begin();
    await new Promise((resolve) => setTimeout(resolve, 5));
    const refused = await sendWith(2500);
    assert.equal(refused.status, 503);
    assert.ok(refused.headers['retry-after']);
    assert.match(refused.body, /"draining"/);
    assert.equal(server.arrivals.length, 1);
    assert.equal((await sendWith(300)).status, 200);
  });

  it('is taken until the stated time after the signal, however long it may last', () => {
    const drain = Drain.of({ total: () => 7300, takesLong: () => 2800 });
    assert.equal(drain.takes(Instant.now(), Instant.after(60_000)), true);
    drain.begin();
    const began = Instant.now();
    assert.equal(drain.takes(Instant.after(2700, began), Instant.after(60_000, began)), true);
    assert.equal(drain.takes(Instant.after(2900, began), Instant.after(60_000, began)), false);
    assert.equal(drain.takes(Instant.after(2900, began), Instant.after(7200, began)), true);
  });
});
