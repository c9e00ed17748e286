/**
 * The child's end of a session: one task that keeps this node a member. It looks for a parent among the seeds and the
 * peers learned since, joins it, receives views, and reports this node and the nodes below it: those that changed at
 * once, and once a second a heartbeat for all of them. The full list is sent on joining and when the parent asks
 * because its entries differ. The node leaves a parent that is silent, or whose last message from the primary is old
 * while other parents may have a newer one, and looks for the next at once: a few candidates are dialled in quick
 * succession, and the first that connects is joined.
 */
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
import { PingClock } from '../wire/ping-clock.js';
import { Protocol } from '../wire/protocol.js';
import type { MemberTable } from './member-table.js';
import { ParentCandidates } from './parent-candidates.js';
import { Roster } from './roster.js';

/** A session with the parent. */
export type Uplink = {
  readonly state: () => string;
  /** The node name of the parent; empty without one. */
  readonly parent: () => string;
  /** The addresses at which this node looks for a parent. */
  readonly candidates: () => readonly string[];
  /** Sends to the parent; false when there is none. */
  readonly send: (body: Frame.Body) => boolean;
  /** Reports the entry of this node now instead of with the next heartbeat. */
  readonly announce: () => void;
  readonly stop: () => void;
  /** Resolves when the task has ended. */
  readonly done: Promise<void>;
};

/** Options of a session with the parent. */
export declare namespace Uplink {
  type Options = {
    readonly feed: Feed;
    readonly members: MemberTable;
    readonly seeds: readonly string[];
    readonly version: string;
    /** Keeps to the seeds: peers and relays that a parent names are ignored. */
    readonly hasFixedCandidates?: boolean;
    /** Opens a link in another way than by a socket. */
    readonly open?: (address: string, terms: Link.Options) => Link;
    /** Whether this node reports itself and the nodes below it. */
    readonly reportsMembers: boolean;
    readonly onParent?: (parent: Frame.Entry, stamp: Stamp) => void;
    readonly onPeers?: (peers: readonly string[]) => void;
    /** Called after a ping was recorded in the feed. */
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

/** Age of the last message from the primary at which a parent is left. */
const maxPrimaryAgeMs = 1500;
const heartbeatIntervalMs = 1000;
/** Changed entries are collected for this time and sent together. */
const changeBatchMs = 20;
const pingIntervalMs = 400;
const silenceTimeoutMs = 1200;
/** Delay between the dials of two candidates. */
const dialStaggerMs = 25;
/** Time after which a node leaves an agent of another zone to look for a near parent. */
const farParentMaxMs = 15_000;
/** Time after which a requested view counts as lost. */
const viewRequestTimeoutMs = 10_000;
const nearerCheckIntervalMs = 1000;
/** Time with a parent before a node looks for a nearer one; doubles with each attempt up to the maximum. */
const nearerDelayMs = { min: 4000, max: 60_000 } as const;

/** Keeps a node a member. */
export const Uplink = {
  /** Starts the task; `stop` ends it. */
  run(options: Uplink.Options): Uplink {
    const { feed, members } = options;
    const stop = new AbortController();
    const phase = StateMachine.of('seeking', {
      seeking: ['joining', 'stopped'],
      joining: ['joined', 'seeking', 'stopped'],
      joined: ['seeking', 'stopped'],
      stopped: [],
    });
    const candidates = ParentCandidates.of(
      options.seeds,
      members.self().node,
      options.hasFixedCandidates ?? false,
    );
    let joinedAt = Instant.now();
    let parent = '';
    let current: Link | undefined;
    let isBelowAgent = false;
    let isFarParent = false;
    let currentAddress = '';
    let nextNearerDelayMs: number = nearerDelayMs.min;
    let protocol: Protocol = Protocol.none;
    let requestedAt: Instant | undefined;
    let nearerCheckedAt = Instant.past;
    let roster: readonly string[] = [];
    let isRosterRequested = false;
    let lastSelfDigest = '';
    let sendHeartbeat: () => void = () => {};
    const own = members.self().node;

    const isNear = (zone: string) => {
      const zones = feed.view().manifest?.document.zones;
      const here = members.self().zone;
      return zone === here || (zones?.[here] !== undefined && zones[here]?.region === zones[zone]?.region);
    };
    const shouldMoveNearer = () => {
      if (options.hasFixedCandidates || isBelowAgent || Instant.since(joinedAt) < nextNearerDelayMs)
        return false;
      if (Instant.since(nearerCheckedAt) < nearerCheckIntervalMs) return false;
      nearerCheckedAt = Instant.now();
      if (!candidates.preferNearer(currentAddress, isNear)) return false;
      nextNearerDelayMs = Math.min(2 * nextNearerDelayMs, nearerDelayMs.max);
      return true;
    };
    const hasAlternatives = () => candidates.all().length > 1;
    const supportsHeartbeats = () => protocol >= Protocol.heartbeats;
    const sendAllEntries = (link: Link) => {
      const self = members.self();
      lastSelfDigest = members.digestOf(self);
      link.send({ kind: 'roll', entries: [self, ...members.descendants()], whole: true, departed: [] });
    };
    const createReporter = (link: Link) => {
      const changed = new Set<string>();
      let batchTimer: Timer | undefined;
      const flush = () => {
        batchTimer?.stop();
        batchTimer = undefined;
        if (changed.size === 0) return;
        const entries = [...changed].flatMap((node) => members.get(node) ?? []);
        const departed = [...changed].filter((node) => entries.every((entry) => entry.node !== node));
        if (changed.has(own)) lastSelfDigest = members.digestOf(members.self());
        changed.clear();
        link.send({ kind: 'roll', entries, whole: false, departed });
      };
      return {
        add(nodes: readonly string[]) {
          if (!options.reportsMembers) return;
          for (const node of nodes) changed.add(node);
          batchTimer ??= Timer.after(changeBatchMs, flush);
        },
        sendHeartbeat() {
          if (!options.reportsMembers || !phase.is('joined')) return;
          if (!supportsHeartbeats()) return sendAllEntries(link);
          if (members.digestOf(members.self()) !== lastSelfDigest) changed.add(own);
          const heartbeat = members.heartbeat();
          flush();
          link.send({ kind: 'heartbeat', ...heartbeat });
        },
        stop: () => batchTimer?.stop(),
      };
    };
    const handleRoster = (frame: Extract<Frame, { kind: 'roster' }>, link: Link) => {
      if (frame.whole || frame.digest === '') {
        roster = frame.proxies;
        isRosterRequested = false;
        options.onRoster?.(roster);
        return;
      }
      if (isRosterRequested) return;
      const next = Roster.after(roster, frame);
      isRosterRequested = next === undefined;
      if (!next) link.send({ kind: 'inquire', what: 'roster' });
      else if (next.join() !== roster.join()) {
        roster = next;
        options.onRoster?.(roster);
      }
    };
    const rangeCut = () => (protocol >= Protocol.rangesByName ? 'name' : 'position');
    const requestView = (link: Link, digests = Ranges.digests(ViewCache.ranges(feed.view(), rangeCut()))) => {
      if (requestedAt !== undefined) return;
      requestedAt = Instant.now();
      link.send({ kind: 'ask', digests });
    };
    const sendView = async (link: Link) => {
      const isCompressed = protocol >= Protocol.rangesByName;
      const compressed = isCompressed ? await ViewCache.compressed(feed.view()) : new Uint8Array();
      const view = isCompressed ? new Uint8Array() : ViewCache.bytes(feed.view());
      link.send({ kind: 'news', view, compressed });
    };
    // While a requested view is in transit, only the age that the parent itself reports tells whether it is cut off.
    const checkAge = (age: number) => {
      const isRequested = requestedAt !== undefined && Instant.since(requestedAt) < viewRequestTimeoutMs;
      if (!isRequested) requestedAt = undefined;
      const isTooOld =
        (isRequested ? age : feed.age()) > maxPrimaryAgeMs &&
        (isBelowAgent || Instant.since(joinedAt) > maxPrimaryAgeMs);
      if (isTooOld && hasAlternatives())
        throw Failure.of('silence', 'the last message from the primary is too old');
    };
    const moveToRelay = (relays: readonly string[], link: Link): boolean => {
      if (options.hasFixedCandidates || !candidates.preferRelays(relays, members.self().wire)) return false;
      options.note('moving to a relay', { relays });
      link.close();
      return true;
    };
    const addPeers = (peers: readonly string[]) => {
      candidates.addPeers(peers);
      options.onPeers?.(peers);
    };
    const handlePing = (ping: Extract<Frame, { kind: 'ping' }>, link: Link) => {
      const { age, stamp } = ping;
      feed.recordPing(age, stamp, PingClock.verifiedAt(ping));
      options.onPing?.();
      checkAge(age);
      if (Stamp.isNewer(stamp, feed.stamp())) requestView(link);
      if (shouldMoveNearer() || (isFarParent && Instant.since(joinedAt) > farParentMaxMs))
        throw Failure.of('silence', 'leaving to look for a nearer parent');
    };
    const handleFrame = (frame: Exclude<Frame, { kind: 'ping' }>, link: Link) =>
      match(frame)
        .with({ kind: 'welcome' }, ({ self, peers, relays, stamp, age, protocol: theirs }) => {
          protocol = Protocol.negotiate(theirs);
          addPeers(peers);
          if (moveToRelay(relays, link)) return;
          isBelowAgent = self.program === 'agent';
          if (!isBelowAgent) candidates.recordZone(currentAddress, self.zone);
          if (isBelowAgent && age > maxPrimaryAgeMs && hasAlternatives())
            throw Failure.of('silence', 'the last message from the primary is too old at the parent');
          phase.transitionTo('joined');
          joinedAt = Instant.now();
          parent = self.node;
          isFarParent = isBelowAgent && self.zone !== members.self().zone;
          options.onParent?.(self, stamp);
          if (options.reportsMembers) sendAllEntries(link);
          if (Stamp.isNewer(stamp, feed.stamp())) requestView(link);
        })
        .with({ kind: 'peers' }, ({ peers }) => addPeers(peers))
        .with({ kind: 'lower' }, ({ relays }) => void moveToRelay(relays, link))
        .with({ kind: 'news' }, (news) => {
          requestedAt = undefined;
          feed.offer(ViewCache.decodeView(news));
        })
        .with({ kind: 'patch' }, (patch) => {
          requestedAt = undefined;
          try {
            feed.offer(
              Ranges.applyPatch(
                ViewCache.ranges(feed.view(), rangeCut()),
                ViewCache.decodePatch(patch),
                rangeCut(),
              ),
            );
          } catch (error) {
            options.note('patch cannot be applied: requesting the whole view', { why: Failure.text(error) });
            requestView(link, []);
          }
        })
        .with({ kind: 'ask' }, () => void sendView(link))
        .with({ kind: 'tokens' }, (frame) => options.onTokens?.(frame))
        .with({ kind: 'roster' }, (frame) => {
          if (options.onRoster) handleRoster(frame, link);
        })
        .with({ kind: 'inquire' }, ({ what }) => {
          if (what === 'roll') sendAllEntries(link);
        })
        .with({ kind: 'loads' }, ({ loads }) => options.onLoads?.(loads))
        .with({ kind: 'leaving' }, ({ instances }) => options.onLeaving?.(instances))
        .with({ kind: 'failures' }, ({ failed }) => options.onFailures?.(failed))
        .with({ kind: 'cold' }, (frame) => options.onCold?.(frame))
        .with({ kind: 'refuse' }, ({ reason }) => {
          throw Failure.of('link', `refused by parent: ${reason}`);
        })
        .otherwise(({ kind }) => {
          throw Failure.of('frame', `unexpected ${kind} from a parent`);
        });
    const dialCandidates = (): Promise<{ readonly address: string; readonly link: Link }> => {
      const terms = {
        stamp: feed.stamp,
        age: feed.age,
        wantsEcho: true,
        pingEvery: pingIntervalMs,
        silence: silenceTimeoutMs,
      };
      const below = new Set([members.self().wire, ...members.descendants().map((entry) => entry.wire)]);
      const list = candidates
        .next()
        .filter((address) => !below.has(address) && Address.parse(address) !== undefined);
      const connected = new AbortController();
      const dials = list.map(async (address, index) => {
        const signal = AbortSignal.any([stop.signal, connected.signal]);
        await Timer.sleep(index * dialStaggerMs, signal);
        if (signal.aborted)
          throw Failure.of('link', 'another candidate connected first, or the session ends');
        const opened = options.open
          ? Promise.resolve(options.open(address, terms))
          : Link.open(Address.checked(address), terms, signal);
        const link = await opened.catch((error: unknown) => {
          if (!connected.signal.aborted) candidates.markFailed(address);
          throw error;
        });
        if (connected.signal.aborted) link.close();
        connected.abort();
        return { address, link };
      });
      return Promise.any(dials);
    };
    const runSession = async (): Promise<void> => {
      const { address, link } = await dialCandidates();
      if (stop.signal.aborted) return link.close();
      const onStop = () => link.close();
      stop.signal.addEventListener('abort', onStop, { once: true });
      const reporter = createReporter(link);
      const subscriptions = [
        feed.watch(() => reporter.add([members.self().node])),
        members.watch(reporter.add),
        reporter.stop,
      ];
      const heartbeatTimer = Timer.every(heartbeatIntervalMs, reporter.sendHeartbeat);
      sendHeartbeat = reporter.sendHeartbeat;
      try {
        current = link;
        currentAddress = address;
        requestedAt = undefined;
        isRosterRequested = false;
        protocol = Protocol.none;
        link.send({
          kind: 'hello',
          self: members.self(),
          version: options.version,
          aim: 'session',
          protocol: Protocol.newest,
        });
        for await (const frame of link.frames())
          if (frame.kind === 'ping') handlePing(frame, link);
          else handleFrame(frame, link);
      } catch (error) {
        if (phase.is('joined')) options.note('session ended', { place: address, why: Failure.text(error) });
      } finally {
        candidates.markFailed(address);
        current = undefined;
        heartbeatTimer.stop();
        for (const unsubscribe of subscriptions) unsubscribe();
        stop.signal.removeEventListener('abort', onStop);
        link.close();
      }
    };
    const run = async () => {
      for (let round = 0; !stop.signal.aborted; round += 1) {
        phase.transitionTo('joining');
        await runSession().catch(() => undefined);
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
      candidates: candidates.all,
      announce() {
        if (phase.is('joined') && current) sendHeartbeat();
      },
      send: (body) => (phase.is('joined') && current?.send(body)) || false,
      stop: () => stop.abort(),
      done: run(),
    };
  },
};
