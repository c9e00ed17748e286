/**
 * How old the manifest of a proxy may be: the age in a ping leaves out its time in transit, the time that it verifies does
 * not, and a key lease counts from the latter.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Instant } from '../src/common/instant.js';
import { Stamp } from '../src/common/stamp.js';
import { View } from '../src/manifest/view.js';
import { Feed } from '../src/news/feed.js';
import { KeyLease } from '../src/proxy/key-lease.js';
import { Frame } from '../src/wire/frame.js';
import { PingClock } from '../src/wire/ping-clock.js';

const stamp = Stamp.of(1, 1);
const view = { ...View.empty, stamp, manifest: { revision: 1, epoch: 1, document: {} } } as unknown as View;
const ageAtParent = 100;
const inTransitMs = 300;
const pause = (durationMs: number) => new Promise<void>((resolve) => setTimeout(resolve, durationMs));

const setUp = () => {
  const feed = Feed.of();
  feed.offer(view);
  const child = PingClock.of({ wantsEcho: true });
  const parent = PingClock.of({ verifiedAge: () => ageAtParent });
  const sendUp = () => parent.record({ kind: 'ping', age: 0, stamp, sentAt: child.sentAt() });
  const receive = () => {
    const bytes = Frame.encode(stamp, parent.complete({ kind: 'ping', age: ageAtParent }));
    return async (afterMs: number) => {
      await pause(afterMs);
      const ping = Frame.decode(bytes.subarray(4)) as Frame & Frame.Ping;
      feed.recordPing(ping.age, ping.stamp, PingClock.verifiedAt(ping));
    };
  };
  const lease = (within: number) =>
    KeyLease.of({ within: () => within, verifiedAt: feed.verifiedAt, onChange() {} });
  return { feed, sendUp, receive, lease };
};

describe('key lease', () => {
  it('counts a ping from before the frame that it answers, however long it was in transit', async () => {
    const { feed, sendUp, receive, lease } = setUp();
    sendUp();
    await receive()(inTransitMs);
    assert.ok(feed.age() < ageAtParent + inTransitMs, `${feed.age()} leaves out the transit`);
    assert.ok(Instant.since(feed.verifiedAt()) >= ageAtParent + inTransitMs - 1);
    assert.equal(lease(inTransitMs).isValid(), false);
    assert.equal(lease(10 * inTransitMs).isValid(), true);
  });

  it('is not renewed by pings that answer nothing newer', async () => {
    const { feed, sendUp, receive } = setUp();
    sendUp();
    const arrive = receive();
    await arrive(0);
    const first = feed.verifiedAt();
    await arrive(inTransitMs);
    assert.ok(feed.verifiedAt() - first < 1, 'the same echo verifies the same time');
    sendUp();
    await receive()(0);
    assert.ok(feed.verifiedAt() - first >= inTransitMs - 1);
  });

  it('is not given by a ping without an echo, without a bound, or from a sender that is behind', () => {
    const { feed, lease } = setUp();
    feed.recordPing(0, stamp, PingClock.verifiedAt({ kind: 'ping', age: 0 }));
    feed.recordPing(0, stamp, PingClock.verifiedAt({ kind: 'ping', age: 0, echo: 0, isVerified: true }));
    feed.recordPing(0, stamp, PingClock.verifiedAt({ kind: 'ping', age: 0, echo: 5, isVerified: false }));
    feed.recordPing(0, Stamp.of(1, 2), Instant.now());
    assert.equal(feed.verifiedAt(), Instant.past);
    assert.equal(lease(1_000_000).isValid(), false);
    assert.equal(lease(Number.POSITIVE_INFINITY).isValid(), true);
  });

  it('tells once when it ends and once when it is valid again', () => {
    let verifiedAt = Instant.now();
    const changes: boolean[] = [];
    const lease = KeyLease.of({
      within: () => 1000,
      verifiedAt: () => verifiedAt,
      onChange: (isValid) => changes.push(isValid),
    });
    lease.reportChange();
    verifiedAt = Instant.after(-2000);
    lease.reportChange();
    lease.reportChange();
    verifiedAt = Instant.now();
    lease.reportChange();
    assert.deepEqual(changes, [false, true]);
  });
});
