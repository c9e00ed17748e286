// The lower end of a session: one task that keeps this node a member. It seeks a parent among the
// seeds and the peers learned since, joins, takes news, and passes up what it and the nodes below
// hold: those that changed at once, and once a second a heartbeat for all of them, which it tells whole only when
// the parent asks, for it holds others. It leaves a parent that is silent, or whose word from the primary has grown old while others may have a newer one, and seeks the next at once:
// a few places are dialled one after another in quick succession, and the first that takes the call is asked.
import { match } from 'ts-pattern';
import { Address } from '../common/address.js';
import { Failure } from '../common/failure.js';
import { Instant } from '../common/instant.js';
import { Stamp } from '../common/stamp.js';
import { StateMachine } from '../common/state-machine.js';
import { Timer } from '../common/timer.js';
import type { Feed } from '../news/feed.js';
import { Ranges } from '../repair/ranges.js';
import { ViewCache } from '../repair/view-cache.js';
import type { Frame } from '../wire/frame.js';
import { Link } from '../wire/link.js';
import { Protocol } from '../wire/protocol.js';
import type { MemberTable } from './member-table.js';
import { ParentCandidates } from './parent-candidates.js';
import { Roster } from './roster.js';

export type Uplink = {
  readonly state: () => string;
  readonly parent: () => string;
  readonly candidates: () => readonly string[];
  readonly send: (body: Frame.Body) => boolean;
  readonly announce: () => void;
  readonly stop: () => void;
  readonly done: Promise<void>;
};

export declare namespace Uplink {
  type Options = {
    readonly feed: Feed;
    readonly members: MemberTable;
    readonly seeds: readonly string[];
    readonly version: string;
    readonly hasFixedCandidates?: boolean;
    /** Opens a link to a place in another way than by a socket. */
    readonly open?: (place: string, terms: Link.Options) => Link;
    readonly reportsMembers: boolean;
    readonly onParent?: (parent: Frame.Entry, stamp: Stamp) => void;
    readonly onPeers?: (peers: readonly string[]) => void;
    readonly onPing?: () => void;
    readonly onRoster?: (proxies: readonly string[]) => void;
    readonly onLoads?: (loads: readonly Frame.Load[]) => void;
    readonly onLeaving?: (instances: readonly string[]) => void;
    readonly onFailures?: (failed: readonly Frame.Failed[]) => void;
    readonly onCold?: (frame: Extract<Frame, { kind: 'cold' }>) => void;
    readonly onTokens?: (frame: Extract<Frame, { kind: 'tokens' }>) => void;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  };
}

const oldAfter = 1500;
const rollEvery = 1000;
const changesWithin = 20;
const pingEvery = 400;
const silence = 1200;
const nextAfter = 25;
const stayFar = 15_000;
const answerWithin = 10_000;
const lookNearerEvery = 1000;
const nearerAfter = { least: 4000, most: 60_000 } as const;

export const Uplink = {
  run(needs: Uplink.Options): Uplink {
    const { feed, members: roll } = needs;
    const stop = new AbortController();
    const phase = StateMachine.of('seeking', {
      seeking: ['joining', 'stopped'],
      joining: ['joined', 'seeking', 'stopped'],
      joined: ['seeking', 'stopped'],
      stopped: [],
    });
    const places = ParentCandidates.of(needs.seeds, roll.self().node, needs.hasFixedCandidates ?? false);
    let joinedAt = Instant.now();
    let parent = '';
    let current: Link | undefined;
    let isBelowAgent = false;
    let isFar = false;
    let currentPlace = '';
    let farFor: number = nearerAfter.least;
    let protocol: Protocol = Protocol.none;
    let askedAt: Instant | undefined;
    let lookedNearerAt = Instant.past;
    let roster: readonly string[] = [];
    let isAskingRoster = false;
    let lastTold = '';
    let beat: () => void = () => {};
    const own = roll.self().node;

    const isNear = (zone: string) => {
      const zones = feed.view().manifest?.document.zones;
      const here = roll.self().zone;
      return zone === here || (zones?.[here] !== undefined && zones[here]?.region === zones[zone]?.region);
    };
    const mayGoNearer = () => {
      if (needs.hasFixedCandidates || isBelowAgent || Instant.since(joinedAt) < farFor) return false;
      if (Instant.since(lookedNearerAt) < lookNearerEvery) return false;
      lookedNearerAt = Instant.now();
      if (!places.preferNearer(currentPlace, isNear)) return false;
      farFor = Math.min(2 * farFor, nearerAfter.most);
      return true;
    };
    const isFree = () => places.all().length > 1;
    const knowsChanges = () => protocol >= Protocol.heartbeats;
    const tellWhole = (link: Link) => {
      const self = roll.self();
      lastTold = roll.digestOf(self);
      link.send({ kind: 'roll', entries: [self, ...roll.descendants()], whole: true, departed: [] });
    };
    const changes = (link: Link) => {
      const changed = new Set<string>();
      let soon: Timer | undefined;
      const flush = () => {
        soon?.stop();
        soon = undefined;
        if (changed.size === 0) return;
        const entries = [...changed].flatMap((node) => roll.get(node) ?? []);
        const departed = [...changed].filter((node) => entries.every((entry) => entry.node !== node));
        if (changed.has(own)) lastTold = roll.digestOf(roll.self());
        changed.clear();
        link.send({ kind: 'roll', entries, whole: false, departed });
      };
      return {
        see(nodes: readonly string[]) {
          if (!needs.reportsMembers) return;
          for (const node of nodes) changed.add(node);
          soon ??= Timer.after(changesWithin, flush);
        },
        beat() {
          if (!needs.reportsMembers || !phase.is('joined')) return;
          if (!knowsChanges()) return tellWhole(link);
          if (roll.digestOf(roll.self()) !== lastTold) changed.add(own);
          const heartbeat = roll.heartbeat();
          flush();
          link.send({ kind: 'heartbeat', ...heartbeat });
        },
        stop: () => soon?.stop(),
      };
    };
    const hearRoster = (frame: Extract<Frame, { kind: 'roster' }>, link: Link) => {
      if (frame.whole || frame.digest === '') {
        roster = frame.proxies;
        isAskingRoster = false;
        needs.onRoster?.(roster);
        return;
      }
      if (isAskingRoster) return;
      const next = Roster.after(roster, frame);
      isAskingRoster = next === undefined;
      if (!next) link.send({ kind: 'inquire', what: 'roster' });
      else if (next.join() !== roster.join()) {
        roster = next;
        needs.onRoster?.(roster);
      }
    };
    const cut = () => (protocol >= Protocol.rangesByName ? 'name' : 'position');
    const ask = (link: Link, digests = Ranges.digests(ViewCache.ranges(feed.view(), cut()))) => {
      if (askedAt !== undefined) return;
      askedAt = Instant.now();
      link.send({ kind: 'ask', digests });
    };
    const handUp = async (link: Link) => {
      const isCompressed = protocol >= Protocol.rangesByName;
      const compressed = isCompressed ? await ViewCache.compressed(feed.view()) : new Uint8Array();
      const view = isCompressed ? new Uint8Array() : ViewCache.bytes(feed.view());
      link.send({ kind: 'news', view, compressed });
    };
    // While the view that was asked for is on its way, only the parent's own word says whether it is cut off.
    const lookAtAge = (age: number) => {
      const isAsking = askedAt !== undefined && Instant.since(askedAt) < answerWithin;
      if (!isAsking) askedAt = undefined;
      const isOld =
        (isAsking ? age : feed.age()) > oldAfter && (isBelowAgent || Instant.since(joinedAt) > oldAfter);
      if (isOld && isFree()) throw Failure.of('silence', 'no fresh word from the primary here');
    };
    const goLower = (relays: readonly string[], link: Link): boolean => {
      if (needs.hasFixedCandidates || !places.preferRelays(relays, roll.self().wire)) return false;
      needs.note('going lower', { relays });
      link.close();
      return true;
    };
    const learnPeers = (peers: readonly string[]) => {
      places.addPeers(peers);
      needs.onPeers?.(peers);
    };
    const hearPing = ({ age, stamp }: Extract<Frame, { kind: 'ping' }>, link: Link) => {
      feed.recordPing(age, stamp);
      needs.onPing?.();
      lookAtAge(age);
      if (Stamp.isNewer(stamp, feed.stamp())) ask(link);
      if (mayGoNearer() || (isFar && Instant.since(joinedAt) > stayFar))
        throw Failure.of('silence', 'time to look for a nearer parent');
    };
    const take = (frame: Exclude<Frame, { kind: 'ping' }>, link: Link) =>
      match(frame)
        .with({ kind: 'welcome' }, ({ self, peers, relays, stamp, age, protocol: theirs }) => {
          protocol = Protocol.negotiate(theirs);
          learnPeers(peers);
          if (goLower(relays, link)) return;
          isBelowAgent = self.program === 'agent';
          if (!isBelowAgent) places.recordZone(currentPlace, self.zone);
          if (isBelowAgent && age > oldAfter && isFree())
            throw Failure.of('silence', 'no fresh word from the primary there');
          phase.transitionTo('joined');
          joinedAt = Instant.now();
          parent = self.node;
          isFar = isBelowAgent && self.zone !== roll.self().zone;
          needs.onParent?.(self, stamp);
          if (needs.reportsMembers) tellWhole(link);
          if (Stamp.isNewer(stamp, feed.stamp())) ask(link);
        })
        .with({ kind: 'peers' }, ({ peers }) => learnPeers(peers))
        .with({ kind: 'lower' }, ({ relays }) => void goLower(relays, link))
        .with({ kind: 'news' }, (news) => {
          askedAt = undefined;
          feed.offer(ViewCache.decodeView(news));
        })
        .with({ kind: 'patch' }, (patch) => {
          askedAt = undefined;
          try {
            feed.offer(
              Ranges.applyPatch(ViewCache.ranges(feed.view(), cut()), ViewCache.decodePatch(patch), cut()),
            );
          } catch (error) {
            needs.note('asking for the whole view', { why: Failure.text(error) });
            ask(link, []);
          }
        })
        .with({ kind: 'ask' }, () => void handUp(link))
        .with({ kind: 'tokens' }, (frame) => needs.onTokens?.(frame))
        .with({ kind: 'roster' }, (frame) => {
          if (needs.onRoster) hearRoster(frame, link);
        })
        .with({ kind: 'inquire' }, ({ what }) => {
          if (what === 'roll') tellWhole(link);
        })
        .with({ kind: 'loads' }, ({ loads }) => needs.onLoads?.(loads))
        .with({ kind: 'leaving' }, ({ instances }) => needs.onLeaving?.(instances))
        .with({ kind: 'failures' }, ({ failed }) => needs.onFailures?.(failed))
        .with({ kind: 'cold' }, (frame) => needs.onCold?.(frame))
        .with({ kind: 'refuse' }, ({ reason }) => {
          throw Failure.of('link', `refused by parent: ${reason}`);
        })
        .otherwise(({ kind }) => {
          throw Failure.of('frame', `unexpected ${kind} from a parent`);
        });
    const dial = (): Promise<{ readonly place: string; readonly link: Link }> => {
      const terms = { stamp: feed.stamp, age: feed.age, pingEvery, silence };
      const below = new Set([roll.self().wire, ...roll.descendants().map((entry) => entry.wire)]);
      const list = places.next().filter((place) => !below.has(place) && Address.parse(place) !== undefined);
      const hasOne = new AbortController();
      const dials = list.map(async (place, index) => {
        await Timer.sleep(index * nextAfter, hasOne.signal);
        if (hasOne.signal.aborted) throw Failure.of('link', 'another place took the call');
        const either = AbortSignal.any([stop.signal, hasOne.signal]);
        const opened = needs.open
          ? Promise.resolve(needs.open(place, terms))
          : Link.open(Address.checked(place), terms, either);
        const link = await opened.catch((error: unknown) => {
          if (!hasOne.signal.aborted) places.markFailed(place);
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
      const rolls = Timer.every(rollEvery, soon.beat);
      beat = soon.beat;
      try {
        current = link;
        currentPlace = place;
        askedAt = undefined;
        isAskingRoster = false;
        protocol = Protocol.none;
        link.send({
          kind: 'hello',
          self: roll.self(),
          version: needs.version,
          aim: 'session',
          protocol: Protocol.newest,
        });
        for await (const frame of link.frames())
          if (frame.kind === 'ping') hearPing(frame, link);
          else take(frame, link);
      } catch (error) {
        if (phase.is('joined')) needs.note('session ended', { place, why: Failure.text(error) });
      } finally {
        places.markFailed(place);
        current = undefined;
        rolls.stop();
        for (const end of unwatch) end();
        stop.signal.removeEventListener('abort', onStop);
        link.close();
      }
    };
    const run = async () => {
      for (let round = 0; !stop.signal.aborted; round += 1) {
        phase.transitionTo('joining');
        await attend().catch(() => undefined);
        const wasJoined = phase.is('joined');
        parent = '';
        if (stop.signal.aborted) break;
        phase.transitionTo('seeking');
        if (!wasJoined) await Timer.sleep(Math.min(50 * (round + 1), 250), stop.signal);
        else round = 0;
      }
      phase.transitionTo('stopped');
    };
    return {
      state: () => phase.state,
      parent: () => parent,
      candidates: places.all,
      announce() {
        if (phase.is('joined') && current) beat();
      },
      send: (body) => (phase.is('joined') && current?.send(body)) || false,
      stop: () => stop.abort(),
      done: run(),
    };
  },
};
