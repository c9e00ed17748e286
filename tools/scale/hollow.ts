// A hollow machine: the real agent, and beside it the half of a proxy that holds news, membership and the
// budget, without callers' and servers' connections. Requests only earn tokens and are charged to quotas.
import { request } from 'undici';
import { Agent } from '../../src/agent/program.js';
import { Ident } from '../../src/kinds/ident.js';
import { Stamp } from '../../src/kinds/stamp.js';
import { Timer } from '../../src/kinds/timer.js';
import { Ring } from '../../src/log/ring.js';
import type { Document } from '../../src/manifest/document.js';
import { Roll } from '../../src/membership/roll.js';
import { Uplink } from '../../src/membership/uplink.js';
import { Feed } from '../../src/news/feed.js';
import { Voucher } from '../../src/news/voucher.js';
import { Quotas } from '../../src/proxy/quotas.js';
import { Version } from '../../src/startup/version.js';
import { Budget } from '../../src/upstream/budget.js';
import type { Frame } from '../../src/wire/frame.js';

export type Hollow = {
  readonly inForce: () => Stamp;
  readonly age: () => number;
  readonly roster: () => number;
  readonly depth: () => Promise<number>;
  readonly stop: () => Promise<void>;
};

export declare namespace Hollow {
  type Machine = { readonly node: string; readonly zone: string };
  type Terms = {
    readonly seeds: readonly string[];
    readonly requests: number;
    readonly host: string;
    readonly see: () => void;
  };
}

const tendEvery = 500;
const requestsEvery = 250;
const promptBytes = 4000;

// Listing thousands of teams for each request cost a process of a hundred hollow machines most of a core.
const teams = new WeakMap<Document, readonly [string, Document['teams'][string]][]>();
const teamsOf = (document: Document | undefined) => {
  if (!document) return [];
  const known = teams.get(document) ?? Object.entries(document.teams);
  teams.set(document, known);
  return known;
};

export const Hollow = {
  async start({ node, zone }: Hollow.Machine, terms: Hollow.Terms): Promise<Hollow> {
    const { host } = terms;
    const agent = await Agent.start(
      {
        node: `${node}-agent`,
        zone,
        wire: `${host}:0`,
        feed: `${host}:0`,
        ops: `${host}:0`,
        seeds: terms.seeds,
      },
      Ring.of(`${node}-agent`),
    );
    const feed = Feed.of();
    const boot = Ident.boot();
    let inForce = Stamp.none;
    let roster: readonly string[] = [];
    type Told = Pick<
      Extract<Frame.Body, { kind: 'tokens' }>,
      'batches' | 'wanted' | 'serial' | 'uses' | 'life' | 'whole'
    >;
    const sendUp = (told: Told) => uplink.send({ kind: 'tokens', node, epoch: 0, grants: [], ...told });
    const budget = Budget.of((batches, wanted) => sendUp({ batches, wanted, serial: 0, uses: [] }));
    const quotas = Quotas.of({
      proxies: () => roster.length,
      send: (serial, uses, told) => sendUp({ batches: [], wanted: 0, serial, uses, ...told }),
    });
    const voucher = Voucher.of(feed, () => enforce());
    const enforce = () => {
      if (!voucher.isVouched()) return;
      inForce = feed.stamp();
      terms.see();
    };
    feed.watch(enforce);
    let due = 0;
    const serve = () => {
      budget.earn();
      const all = teamsOf(feed.view().manifest?.document);
      const [name, team] = all[Math.floor(Math.random() * all.length)] ?? [];
      if (!name || !team?.quota) return;
      const charged = { name: name as Ident.Team, home: team.home, homes: team.homes, quota: team.quota };
      void quotas.admit(charged, promptBytes);
    };
    const alarms = [
      Timer.every(tendEvery, () => {
        budget.tend();
        quotas.tend();
      }),
      Timer.every(requestsEvery, () => {
        due += (terms.requests * requestsEvery) / 1000;
        for (; due >= 1; due -= 1) serve();
      }),
    ];
    const roll: Roll = Roll.of(() => ({
      node,
      program: 'proxy',
      zone,
      boot,
      stamp: inForce,
      http: `${host}:8080`,
      wire: '',
      ops: `${host}:8081`,
      depth: 0,
      ready: inForce !== Stamp.none,
      vouched: voucher.isVouched(),
    }));
    const uplink: Uplink = Uplink.run({
      feed,
      roll,
      seeds: [agent.ready.feed!],
      version: Version,
      isFixed: true,
      isUpward: true,
      onWord() {
        voucher.look();
        terms.see();
      },
      onParent(parent, stamp) {
        if (parent.vouched) voucher.promise(stamp);
      },
      onRoster(proxies) {
        roster = proxies;
        terms.see();
      },
      onTokens({ epoch, batches, serial, grants, ...told }) {
        if (serial > 0) quotas.grant(epoch, serial, grants, told);
        else budget.grant(epoch, batches);
      },
      note: () => {},
    });
    return {
      inForce: () => inForce,
      age: feed.age,
      roster: () => roster.length,
      async depth() {
        const health = await request(`http://${agent.ready.ops}/health`);
        return ((await health.body.json()) as { depth: number }).depth;
      },
      async stop() {
        for (const alarm of alarms) alarm.stop();
        uplink.stop();
        await Promise.all([uplink.done, agent.drain()]);
      },
    };
  },
};
