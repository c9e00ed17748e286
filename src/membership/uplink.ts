// The lower end of a session: one task that keeps this node a member. It seeks a parent among the
// seeds and the peers learned since, joins, takes news, and passes up what it and the nodes below
// hold: all of them twice a second, and those that changed at once. It leaves a parent that is silent, or
// whose word from the primary has grown old while others may have a newer one, and seeks the next at once:
// a few places are dialled one after another in quick succession, and the first that takes the call is asked.
import { match } from 'ts-pattern';
import { Address } from '../kinds/address.js';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import { Phase } from '../kinds/phase.js';
import { Stamp } from '../kinds/stamp.js';
import { Timer } from '../kinds/timer.js';
import { View } from '../manifest/view.js';
import type { Feed } from '../news/feed.js';
import { Copies } from '../repair/copies.js';
import { Ranges } from '../repair/ranges.js';
import type { Frame } from '../wire/frame.js';
import { Link } from '../wire/link.js';
import { Places } from './places.js';
import type { Roll } from './roll.js';

export type Uplink = {
  readonly state: () => string;
  readonly parent: () => string;
  readonly places: () => readonly string[];
  readonly send: (body: Frame.Body) => boolean;
  readonly announce: () => void;
  readonly stop: () => void;
  readonly done: Promise<void>;
};

export declare namespace Uplink {
  type Needs = {
    readonly feed: Feed;
    readonly roll: Roll;
    readonly seeds: readonly string[];
    readonly version: string;
    readonly isFixed?: boolean;
    readonly isUpward: boolean;
    readonly onParent?: (parent: Frame.Entry, stamp: Stamp) => void;
    readonly onPeers?: (peers: readonly string[]) => void;
    readonly onWord?: () => void;
    readonly onRoster?: (proxies: readonly string[]) => void;
    readonly onLoads?: (loads: readonly Frame.Load[]) => void;
    readonly onLeaving?: (instances: readonly string[]) => void;
    readonly onCold?: (frame: Extract<Frame, { kind: 'cold' }>) => void;
    readonly onTokens?: (frame: Extract<Frame, { kind: 'tokens' }>) => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

const oldAfter = 1500;
const rollEvery = 1000;
const changesWithin = 20;
const pingEvery = 200;
const silence = 1200;
const nextAfter = 25;
const stayFar = 15_000;

export const Uplink = {
  run(needs: Uplink.Needs): Uplink {
    const { feed, roll } = needs;
    const stop = new AbortController();
    const phase = Phase.of('seeking', {
      seeking: ['joining', 'stopped'],
      joining: ['joined', 'seeking', 'stopped'],
      joined: ['seeking', 'stopped'],
      stopped: [],
    });
    const places = Places.of(needs.seeds, roll.self().node, needs.isFixed ?? false);
    let joinedAt = Moment.now();
    let parent = '';
    let current: Link | undefined;
    let isBelowAgent = false;
    let isFar = false;

    const isFree = () => places.all().length > 1;
    const tell = (link: Link) => {
      if (!needs.isUpward) return;
      link.send({ kind: 'roll', entries: [roll.self(), ...roll.below()] });
    };
    const changes = (link: Link) => {
      const changed = new Set<string>();
      let soon: Timer | undefined;
      const flush = () => {
        soon = undefined;
        const entries = [...changed].flatMap((node) => roll.get(node) ?? []);
        changed.clear();
        link.send({ kind: 'roll', entries });
      };
      return {
        see(nodes: readonly string[]) {
          if (!needs.isUpward) return;
          for (const node of nodes) changed.add(node);
          soon ??= Timer.after(changesWithin, flush);
        },
        stop: () => soon?.stop(),
      };
    };
    const ask = (link: Link) => link.send({ kind: 'ask', digests: Ranges.digests(Copies.of(feed.view())) });
    const goLower = (relays: readonly string[], link: Link): boolean => {
      if (needs.isFixed || !places.lower(relays, roll.self().wire)) return false;
      needs.note('going lower', { relays });
      link.close();
      return true;
    };
    const learnPeers = (peers: readonly string[]) => {
      places.learn(peers);
      needs.onPeers?.(peers);
    };
    const take = (frame: Frame, link: Link) =>
      match(frame)
        .with({ kind: 'welcome' }, ({ self, peers, relays, stamp, age }) => {
          learnPeers(peers);
          if (goLower(relays, link)) return;
          isBelowAgent = self.program === 'agent';
          if (isBelowAgent && age > oldAfter && isFree())
            throw Failure.of('silence', 'no fresh word from the primary there');
          phase.become('joined');
          joinedAt = Moment.now();
          parent = self.node;
          isFar = isBelowAgent && self.zone !== roll.self().zone;
          needs.onParent?.(self, stamp);
          tell(link);
          if (Stamp.isNewer(stamp, feed.stamp())) ask(link);
        })
        .with({ kind: 'peers' }, ({ peers }) => learnPeers(peers))
        .with({ kind: 'lower' }, ({ relays }) => void goLower(relays, link))
        .with({ kind: 'news' }, ({ view }) => {
          feed.offer(View.decode(view));
        })
        .with({ kind: 'patch' }, (patch) => {
          try {
            feed.offer(Ranges.mend(Copies.of(feed.view()), patch));
          } catch (error) {
            needs.note('asking for the whole view', { why: Failure.text(error) });
            link.send({ kind: 'ask', digests: [] });
          }
        })
        .with({ kind: 'ask' }, () => {
          link.send({ kind: 'news', view: Copies.bytes(feed.view()) });
        })
        .with({ kind: 'ping' }, ({ age, stamp }) => {
          feed.hear(age, stamp);
          needs.onWord?.();
          if (Stamp.isNewer(stamp, feed.stamp())) ask(link);
          const isOld = feed.age() > oldAfter && (isBelowAgent || Moment.since(joinedAt) > oldAfter);
          if (isOld && isFree()) throw Failure.of('silence', 'no fresh word from the primary here');
          if (isFar && Moment.since(joinedAt) > stayFar)
            throw Failure.of('silence', 'time to look for a nearer parent');
        })
        .with({ kind: 'tokens' }, (frame) => needs.onTokens?.(frame))
        .with({ kind: 'roster' }, ({ proxies }) => needs.onRoster?.(proxies))
        .with({ kind: 'loads' }, ({ loads }) => needs.onLoads?.(loads))
        .with({ kind: 'leaving' }, ({ instances }) => needs.onLeaving?.(instances))
        .with({ kind: 'cold' }, (frame) => needs.onCold?.(frame))
        .with({ kind: 'refuse' }, ({ reason }) => {
          throw Failure.of('link', `refused by parent: ${reason}`);
        })
        .otherwise(({ kind }) => {
          throw Failure.of('frame', `unexpected ${kind} from a parent`);
        });
    const dial = (): Promise<{ readonly place: string; readonly link: Link }> => {
      const terms = { stamp: feed.stamp, age: feed.age, pingEvery, silence };
      const below = new Set([roll.self().wire, ...roll.below().map((entry) => entry.wire)]);
      const list = places.next().filter((place) => !below.has(place) && Address.parse(place) !== undefined);
      const hasOne = new AbortController();
      const dials = list.map(async (place, index) => {
        await Timer.pause(index * nextAfter, hasOne.signal);
        if (hasOne.signal.aborted) throw Failure.of('link', 'another place took the call');
        const either = AbortSignal.any([stop.signal, hasOne.signal]);
        const link = await Link.open(Address.checked(place), terms, either).catch((error: unknown) => {
          if (!hasOne.signal.aborted) places.failed(place);
          throw error;
        });
        if (hasOne.signal.aborted) link.close();
        hasOne.abort();
        return { place, link };
      });
      return Promise.any(dials);
    };
    const attend = async (): Promise<void> => {
      const { place, link } = await dial();
      const onStop = () => link.close();
      stop.signal.addEventListener('abort', onStop, { once: true });
      const soon = changes(link);
      const unwatch = [feed.watch(() => soon.see([roll.self().node])), roll.watch(soon.see), soon.stop];
      const rolls = Timer.every(rollEvery, () => tell(link));
      try {
        current = link;
        link.send({ kind: 'hello', self: roll.self(), version: needs.version, aim: 'session' });
        for await (const frame of link.frames()) take(frame, link);
      } catch (error) {
        if (phase.is('joined')) needs.note('session ended', { place, why: Failure.text(error) });
      } finally {
        places.failed(place);
        current = undefined;
        rolls.stop();
        for (const end of unwatch) end();
        stop.signal.removeEventListener('abort', onStop);
        link.close();
      }
    };
    const run = async () => {
      for (let round = 0; !stop.signal.aborted; round += 1) {
        phase.become('joining');
        await attend().catch(() => undefined);
        const wasJoined = phase.is('joined');
        parent = '';
        if (stop.signal.aborted) break;
        phase.become('seeking');
        if (!wasJoined) await Timer.pause(Math.min(50 * (round + 1), 250), stop.signal);
        else round = 0;
      }
      phase.become('stopped');
    };
    return {
      state: () => phase.state,
      parent: () => parent,
      places: places.all,
      announce() {
        if (phase.is('joined') && current) tell(current);
      },
      send: (body) => (phase.is('joined') && current?.send(body)) || false,
      stop: () => stop.abort(),
      done: run(),
    };
  },
};
