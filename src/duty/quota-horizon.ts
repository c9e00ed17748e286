/**
 * The usage horizon at the holder of the quota duty: what it may lease of each quota to all proxies together. A majority of the
 * cores stores it before it is used (`horizon-replica`), so that whoever holds the duty next knows a bound of what is out. Up to
 * half of each quota needs no word; beyond that the horizon is raised ahead of need, and lowered when it is not needed.
 */
import { Instant } from '../common/instant.js';
import type { Frame } from '../wire/frame.js';
import { HorizonReplica } from './horizon-replica.js';
import { UsageWindow } from './usage-window.js';

/** The horizon of a holder. */
export type QuotaHorizon = {
  /** Begins to hold the duty; the first holder of a cluster has nothing to ask. */
  readonly begin: (epoch: number, isFirst: boolean) => void;
  /** Goes on holding the duty in the next epoch. */
  readonly continueIn: (epoch: number) => void;
  /** What the predecessor may have leased at most. */
  readonly predecessorBound: (team: string, quota: UsageWindow.Usage) => UsageWindow.Usage;
  /** What may be leased now. */
  readonly limit: (team: string, quota: UsageWindow.Usage) => UsageWindow.Usage;
  /** States what of a quota is out or wanted: raises the horizon if that comes near it, lowers it if it is far below. */
  readonly observe: (team: string, quota: UsageWindow.Usage, used: UsageWindow.Usage) => void;
  /** The teams of which more may be leased than without a word. */
  readonly teams: () => readonly string[];
  readonly handleReply: (reply: Frame.Horizon) => void;
  /** Repeats what was not answered; called several times a second while the duty is held, after all teams were observed. */
  readonly maintain: (isPredecessorGone: boolean) => void;
};

/** What it needs from the core. */
export declare namespace QuotaHorizon {
  type Dependencies = {
    readonly own: string;
    /** The nodes of the cores of the term. */
    readonly cores: () => readonly string[];
    /** Sends a message to a core; to this one as well. */
    readonly send: (node: string, message: Frame.Horizon) => void;
    /** A majority has stored a new horizon. */
    readonly onRaise: () => void;
    /** Another node has asked for the horizon since: this one has to begin anew. */
    readonly onOutdated: () => void;
  };
}

type Bounds = ReadonlyMap<string, UsageWindow.Usage>;
/** What the predecessor may have leased. `isOpen`: of teams that are not named as much as their quota. */
type Predecessor = { readonly bounds: Bounds; readonly isOpen: boolean };
type Write = {
  readonly serial: number;
  readonly bounds: Bounds;
  readonly stored: Set<string>;
  sentAt: Instant;
};

/** Part of each quota that may be leased without a word to the other cores. */
const freePart = 0.5;
/** How far above what is out the horizon is raised. */
const headroom = 1.3;
/** Part of the horizon that may be out before it is raised ahead of need. */
const raiseFrom = 0.85;
/** Part of the horizon that is out below which it is lowered. */
const lowerBelow = 0.45;
/** Time after which a message counts as lost, in milliseconds. */
const retryMs = 300;
/** Time between two writes without a change, from which a core that lost its copy learns it again, in milliseconds. */
const heartbeatMs = 1000;
/** How long a new holder waits for the copies of a majority, in milliseconds. */
const maxReadMs = 1000;
/** How long a horizon stays as high as it was once needed, in milliseconds. */
const lowerAfterMs = 3000;

const freeOf = ({ requests, prompt }: UsageWindow.Usage): UsageWindow.Usage => ({
  requests: Math.floor(requests * freePart),
  prompt: Math.floor(prompt * freePart),
});
const scale = ({ requests, prompt }: UsageWindow.Usage, by: number): UsageWindow.Usage => ({
  requests: Math.ceil(requests * by),
  prompt: Math.ceil(prompt * by),
});
const exceeds = (a: UsageWindow.Usage, b: UsageWindow.Usage): boolean => !UsageWindow.covers(b, a);
const toBounds = (grants: readonly Frame.Grant[]): Bounds =>
  new Map(grants.map(({ team, requests, prompt }) => [team, { requests, prompt }]));
const toGrants = (bounds: Bounds): readonly Frame.Grant[] =>
  [...bounds].map(([team, amount]) => ({ team, ...amount }));

class Horizon implements QuotaHorizon {
  private ballot = HorizonReplica.noBallot;
  private serial = 0;
  /** What a majority has stored. */
  private stored: Bounds = new Map();
  /** What is to be stored next. */
  private wanted = new Map<string, UsageWindow.Usage>();
  private isChanged = false;
  private readonly neededAt = new Map<string, Instant>();
  private write: Write | undefined;
  private wroteAt = Instant.past;
  private beganAt = Instant.past;
  private predecessor: Predecessor | undefined;
  private readonly states = new Map<string, Frame.Horizon>();
  private askedAt = Instant.past;

  constructor(private readonly needs: QuotaHorizon.Dependencies) {}

  begin(epoch: number, isFirst: boolean): void {
    const round = this.ballot.epoch === epoch ? this.ballot.round + 1 : 1;
    this.ballot = { epoch, round, node: this.needs.own };
    this.beganAt = Instant.now();
    this.stored = new Map();
    this.wanted = new Map();
    this.write = undefined;
    this.predecessor = isFirst ? { bounds: new Map(), isOpen: false } : undefined;
    this.neededAt.clear();
    this.states.clear();
    if (!isFirst) this.ask();
  }

  continueIn(epoch: number): void {
    this.ballot = { ...this.ballot, epoch };
    this.write?.stored.clear();
    this.isChanged = true;
  }

  predecessorBound(team: string, quota: UsageWindow.Usage): UsageWindow.Usage {
    const known = this.predecessor?.bounds.get(team);
    if (known) return known;
    return this.predecessor?.isOpen === false ? freeOf(quota) : quota;
  }

  limit(team: string, quota: UsageWindow.Usage): UsageWindow.Usage {
    const bounds = [this.stored, this.wanted, ...(this.write ? [this.write.bounds] : [])];
    return bounds.map((one) => one.get(team) ?? freeOf(quota)).reduce(UsageWindow.smaller, quota);
  }

  observe(team: string, quota: UsageWindow.Usage, used: UsageWindow.Usage): void {
    const bound = this.wanted.get(team) ?? freeOf(quota);
    const next = UsageWindow.smaller(quota, scale(used, headroom));
    if (exceeds(used, scale(bound, raiseFrom)) && exceeds(next, bound)) {
      this.change(team, UsageWindow.larger(bound, next));
      this.flush();
      return;
    }
    if (!this.wanted.has(team)) return;
    if (exceeds(used, scale(bound, lowerBelow))) this.neededAt.set(team, Instant.now());
    else if (Instant.since(this.neededAt.get(team) ?? Instant.past) > lowerAfterMs)
      this.change(team, exceeds(next, freeOf(quota)) ? next : undefined);
  }

  teams(): readonly string[] {
    return [...this.wanted.keys()];
  }

  handleReply(reply: Frame.Horizon): void {
    if (HorizonReplica.compare(reply.ballot, this.ballot) !== 0) return;
    if (!reply.isTaken) {
      if (HorizonReplica.compare(reply.promised ?? this.ballot, this.ballot) > 0) this.needs.onOutdated();
    } else if (reply.step === 'state') this.handleState(reply);
    else this.handleWritten(reply);
  }

  maintain(isPredecessorGone: boolean): void {
    if (!this.predecessor && Instant.since(this.askedAt) > retryMs) this.ask();
    // Where too few cores have kept their copies, nothing is known of the predecessor.
    if (!this.predecessor && Instant.since(this.beganAt) > maxReadMs)
      this.predecessor = { bounds: new Map(), isOpen: true };
    if (!this.predecessor) return;
    if (isPredecessorGone && this.predecessor.isOpen) {
      this.predecessor = { ...this.predecessor, isOpen: false };
      this.isChanged = true;
    }
    if (this.write && Instant.since(this.write.sentAt) > retryMs) this.send(this.write);
    if (Instant.since(this.wroteAt) > heartbeatMs) this.isChanged = true;
    this.flush();
  }

  private change(team: string, bound: UsageWindow.Usage | undefined): void {
    if (bound) this.wanted.set(team, bound);
    else this.wanted.delete(team);
    this.neededAt.set(team, Instant.now());
    this.isChanged = true;
  }

  private majority(): number {
    return Math.floor(this.needs.cores().length / 2) + 1;
  }

  private message(step: 'read' | 'write', serial: number, bounds: Bounds): Frame.Horizon {
    const { ballot, needs } = this;
    const none = { isTaken: false, isWhole: false, acceptedSerial: 0 };
    const isOpen = this.predecessor?.isOpen === true;
    return {
      kind: 'horizon',
      node: needs.own,
      step,
      ballot,
      serial,
      bounds: toGrants(bounds),
      isOpen,
      ...none,
    };
  }

  private ask(): void {
    this.askedAt = Instant.now();
    const message = this.message('read', 0, new Map());
    for (const core of this.needs.cores()) this.needs.send(core, message);
  }

  private flush(): void {
    if (!this.isChanged || this.write || !this.predecessor) return;
    this.isChanged = false;
    this.serial += 1;
    this.wroteAt = Instant.now();
    const bounds = new Map(this.wanted);
    this.write = { serial: this.serial, bounds, stored: new Set(), sentAt: Instant.now() };
    this.send(this.write);
  }

  private send(write: Write): void {
    write.sentAt = Instant.now();
    const message = this.message('write', write.serial, write.bounds);
    for (const core of this.needs.cores()) if (!write.stored.has(core)) this.needs.send(core, message);
  }

  private handleWritten({ node, serial }: Frame.Horizon): void {
    const { write } = this;
    if (write?.serial !== serial) return;
    write.stored.add(node);
    if (write.stored.size < this.majority()) return;
    this.stored = write.bounds;
    this.write = undefined;
    this.needs.onRaise();
    this.flush();
  }

  /** Cores that have lost their copies do not count for the majority. */
  private handleState(reply: Frame.Horizon): void {
    if (this.predecessor || !reply.isWhole) return;
    this.states.set(reply.node, reply);
    if (this.states.size < this.majority()) return;
    const { bounds, isOpen } = [...this.states.values()].reduce((a, b) => (isNewer(b, a) ? b : a));
    this.predecessor = { bounds: toBounds(bounds), isOpen };
    for (const [team, bound] of this.predecessor.bounds) this.change(team, bound);
    this.flush();
  }
}

const isNewer = (a: Frame.Horizon, b: Frame.Horizon): boolean => {
  const none = HorizonReplica.noBallot;
  return (
    (HorizonReplica.compare(a.accepted ?? none, b.accepted ?? none) || a.acceptedSerial - b.acceptedSerial) >
    0
  );
};

/** Creates the horizon of a holder. */
export const QuotaHorizon = {
  of: (needs: QuotaHorizon.Dependencies): QuotaHorizon => new Horizon(needs),
  /** No horizon: all may be leased, and a successor knows nothing. */
  none: {
    begin() {},
    continueIn() {},
    predecessorBound: (_team, quota) => quota,
    limit: (_team, quota) => quota,
    observe() {},
    teams: () => [],
    handleReply() {},
    maintain() {},
  } as QuotaHorizon,
};
